package main

import (
	"os"
	"path/filepath"
)

// keepLogs writes what the daemons wrote to the folder in KEEP_LOGS, if that is set.
func (w *world) keepLogs() {
	folder := os.Getenv("KEEP_LOGS")
	if folder == "" {
		return
	}
	for _, d := range w.daemons {
		_ = os.WriteFile(filepath.Join(folder, d.name+".log"), []byte(d.log.String()), 0o600) // Only for reading by hand.
	}
}
