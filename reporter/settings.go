package reporter

import (
	"cmp"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	defaultCopyInterval       = time.Second
	defaultCopyBytesPerSecond = 4096
	defaultRefreshInterval    = 30 * time.Second
	defaultQuietInterval      = 10 * time.Minute
	defaultWriteSpread        = 20 * time.Second
	defaultMaxEntries         = 500
	defaultMaxPendingEntries  = 5000
	defaultMaxPendingBatches  = 2048
	defaultCallTimeout        = 2 * time.Second
	defaultCloseTimeout       = 5 * time.Second
)

// SettingsError reports a setting that is missing or malformed.
type SettingsError struct {
	Setting  string
	Value    string
	Expected string
}

// Error names the setting and what was expected.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s is %q, expected %s", e.Setting, e.Value, e.Expected)
}

func (s Settings) withDefaults() (Settings, error) {
	const expected = "a name that is valid in a key"
	if !registrar.IsKeyName(s.Daemon) {
		return s, &SettingsError{Setting: "Daemon", Value: s.Daemon, Expected: expected}
	}
	if !registrar.IsKeyName(s.DataCentre) {
		return s, &SettingsError{Setting: "DataCentre", Value: s.DataCentre, Expected: expected}
	}
	if s.Incarnation == "" {
		s.Incarnation = uuid.NewString()
	}
	s.CopyInterval = cmp.Or(s.CopyInterval, defaultCopyInterval)
	s.CopyBytesPerSecond = cmp.Or(s.CopyBytesPerSecond, defaultCopyBytesPerSecond)
	s.RefreshInterval = cmp.Or(s.RefreshInterval, defaultRefreshInterval)
	s.QuietInterval = cmp.Or(s.QuietInterval, defaultQuietInterval)
	s.WriteSpread = cmp.Or(s.WriteSpread, defaultWriteSpread)
	s.MaxEntries = cmp.Or(s.MaxEntries, defaultMaxEntries)
	s.MaxPendingEntries = cmp.Or(s.MaxPendingEntries, defaultMaxPendingEntries)
	s.MaxPendingBatches = cmp.Or(s.MaxPendingBatches, defaultMaxPendingBatches)
	s.CallTimeout = cmp.Or(s.CallTimeout, defaultCallTimeout)
	s.CloseTimeout = cmp.Or(s.CloseTimeout, defaultCloseTimeout)
	return s, nil
}
