package assembler

import (
	"reflect"

	"github.com/rosemaryrill/rosemaryrill/loader"
)

// Reload takes over changed settings. Bounds are in force at once; the rest, such as addresses, is
// taken at the next start, which the log says. No request is cut.
func (d *Daemon) Reload(settings loader.Settings) {
	before := d.hosted.Swap(&settings.Hosted)
	rest := settings
	rest.Hosted = d.settings.Hosted
	d.logger.Info("settings read again",
		"bounds_changed", *before != settings.Hosted,
		"next_start_changes", !reflect.DeepEqual(rest, d.settings.Settings))
}

// ReloadFailed notes that changed settings could not be read; those before stay in force.
func (d *Daemon) ReloadFailed(err error) {
	d.logger.Warn("settings not understood, those before stay in force", "error", err)
}
