package runner

import (
	"reflect"

	"github.com/rosemaryrill/rosemaryrill/loader"
)

// Reload notes changed settings. All of them are taken at the next start, which the log says; no
// request is cut.
func (d *Daemon) Reload(settings loader.Settings) {
	d.observer.Log("runner").Info("runner: settings read again",
		"next_start_changes", !reflect.DeepEqual(settings, d.settings.Settings))
}

// ReloadFailed notes that changed settings could not be read; those before stay in force.
func (d *Daemon) ReloadFailed(err error) {
	d.observer.Log("runner").Warn("runner: settings not understood, those before stay in force", "error", err)
}
