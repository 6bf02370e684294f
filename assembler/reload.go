package assembler

import (
	"reflect"

	"github.com/rosemaryrill/rosemaryrill/loader"
)

// Reload applies changed settings. The bounds in settings.Hosted take effect at once; all other settings, such as
// addresses, take effect at the next start of the daemon. The log line reports whether bounds changed and whether
// other settings changed. Open requests are not interrupted.
func (d *Daemon) Reload(settings loader.Settings) {
	before := d.hosted.Swap(&settings.Hosted)
	rest := settings
	rest.Hosted = d.settings.Hosted
	d.logger.Info("settings reloaded",
		"bounds_changed", *before != settings.Hosted,
		"next_start_changes", !reflect.DeepEqual(rest, d.settings.Settings))
}

// LogReloadFailure logs that changed settings could not be read; the previous settings remain in effect.
func (d *Daemon) LogReloadFailure(err error) {
	d.logger.Warn("failed to reload the settings; the previous settings remain in effect", "error", err)
}
