package runner

import (
	"reflect"

	"github.com/rosemaryrill/rosemaryrill/loader"
)

// Reload logs whether the settings read from the file differ from those in force. It applies none
// of them: all changes take effect at the next start of the daemon.
func (d *Daemon) Reload(settings loader.Settings) {
	d.observer.Log("runner").Info("runner: settings read again",
		"next_start_changes", !reflect.DeepEqual(settings, d.settings.Settings))
}

// LogReloadFailure logs that changed settings could not be read. The previous ones stay in force.
func (d *Daemon) LogReloadFailure(err error) {
	d.observer.Log("runner").Warn("runner: cannot read the changed settings; the previous ones stay in force", "error", err)
}
