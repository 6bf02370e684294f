package configurator

import (
	"cmp"
	"errors"
	"log/slog"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// The defaults of Settings.
const (
	DefaultMaintenanceKey       = "duties/all/configuration"
	DefaultWatchWait            = 20 * time.Second
	DefaultWatchGap             = 250 * time.Millisecond
	DefaultPollEvery            = 30 * time.Second
	DefaultIsolatedPollInterval = 4 * time.Second
	DefaultStartSpread          = 3 * time.Second
	DefaultPeerCatchUpTimeout   = 2 * time.Second
	DefaultRetryBase            = 100 * time.Millisecond
	DefaultRetryCap             = 2 * time.Second
	DefaultMaintenanceInterval  = 5 * time.Second
	DefaultMaintenanceTTL       = 20 * time.Second
	DefaultSnapshotEvery        = 1000
	DefaultKeepEntries          = 1000
	DefaultTrimAge              = 10 * time.Minute
	DefaultBehindAfter          = 2 * time.Second
	DefaultWindowEntries        = 2048
	DefaultWindowBytes          = 8 << 20
	DefaultPageEntries          = 200
	DefaultTrimBatch            = 20
	DefaultPartBytes            = 900 << 10
)

// Settings configures a Configurator. Zero fields take their defaults.
type Settings struct {
	// Daemon is the name of this daemon in entries and in the value of MaintenanceKey.
	Daemon    string
	Store     Store
	Peers     Peers
	WatchRole WatchRole
	// Validate checks the complete configuration that would result from a commit. By default every
	// configuration is valid.
	Validate func(registrar.Objects) error
	Log      *slog.Logger

	// MaintenanceKey is the key that the maintenance leader creates and binds to its lease of
	// MaintenanceTTL. The leader does a maintenance round every MaintenanceInterval; the other
	// daemons that watch the platform check the key every MaintenanceTTL. Both intervals are
	// shortened by a random part of up to a half.
	MaintenanceKey      string
	MaintenanceInterval time.Duration
	MaintenanceTTL      time.Duration

	// WatchWait is the long-poll timeout of one watch. WatchGap is the minimum interval between two
	// watches, so that changes in quick succession are read together.
	WatchWait time.Duration
	WatchGap  time.Duration
	// PollEvery is the interval between two reads of the platform by a daemon that does not watch
	// it; IsolatedPollInterval is the interval while such a daemon reaches no peer.
	PollEvery            time.Duration
	IsolatedPollInterval time.Duration
	// StartSpread is the interval over which daemons that start together spread their first read of
	// the platform. PeerCatchUpTimeout is how long a starting daemon that is behind its peers waits
	// for their entries before it reads the platform.
	StartSpread        time.Duration
	PeerCatchUpTimeout time.Duration
	// RetryBase is the initial and RetryCap the maximum limit of the jittered backoff.
	RetryBase time.Duration
	RetryCap  time.Duration
	// BehindAfter is how long reads of the platform must return an incomplete log (one that ends
	// before the current revision or lacks entries) until an alarm is raised and the maintenance
	// leader recreates lost entries. A single stale read has neither effect.
	BehindAfter time.Duration

	// SnapshotEvery is the number of entries between two snapshots.
	SnapshotEvery int
	// KeepEntries is how many of the entries up to a snapshot are kept on the platform.
	KeepEntries int
	// TrimAge is how long ago a snapshot must have been verified before entries that it contains
	// are deleted. A commit that takes longer than half of TrimAge is verified against the next
	// entry, as the log may have been trimmed beyond the revision of the commit meanwhile.
	TrimAge time.Duration
	// TrimBatch is the maximum number of entries that one maintenance round trims.
	TrimBatch int
	// PartBytes is the size of one part of a snapshot.
	PartBytes int
	// PageEntries is the page size when listing entries.
	PageEntries int
	// WindowEntries and WindowBytes bound the recent entries in memory. They are used to update
	// peers, to rebase commits and to recreate lost entries.
	WindowEntries int
	WindowBytes   int
}

func (s Settings) withDefaults() Settings {
	s.MaintenanceKey = cmp.Or(s.MaintenanceKey, DefaultMaintenanceKey)
	s.MaintenanceInterval = cmp.Or(s.MaintenanceInterval, DefaultMaintenanceInterval)
	s.MaintenanceTTL = cmp.Or(s.MaintenanceTTL, DefaultMaintenanceTTL)
	s.WatchWait = cmp.Or(s.WatchWait, DefaultWatchWait)
	s.WatchGap = cmp.Or(s.WatchGap, DefaultWatchGap)
	s.PollEvery = cmp.Or(s.PollEvery, DefaultPollEvery)
	s.IsolatedPollInterval = cmp.Or(s.IsolatedPollInterval, DefaultIsolatedPollInterval)
	s.StartSpread = cmp.Or(s.StartSpread, DefaultStartSpread)
	s.PeerCatchUpTimeout = cmp.Or(s.PeerCatchUpTimeout, DefaultPeerCatchUpTimeout)
	s.RetryBase = cmp.Or(s.RetryBase, DefaultRetryBase)
	s.RetryCap = cmp.Or(s.RetryCap, DefaultRetryCap)
	s.BehindAfter = cmp.Or(s.BehindAfter, DefaultBehindAfter)
	s.SnapshotEvery = cmp.Or(s.SnapshotEvery, DefaultSnapshotEvery)
	s.KeepEntries = cmp.Or(s.KeepEntries, DefaultKeepEntries)
	s.TrimAge = cmp.Or(s.TrimAge, DefaultTrimAge)
	s.TrimBatch = cmp.Or(s.TrimBatch, DefaultTrimBatch)
	s.PartBytes = cmp.Or(s.PartBytes, DefaultPartBytes)
	s.PageEntries = cmp.Or(s.PageEntries, DefaultPageEntries)
	s.WindowEntries = cmp.Or(s.WindowEntries, DefaultWindowEntries)
	s.WindowBytes = cmp.Or(s.WindowBytes, DefaultWindowBytes)
	if s.Validate == nil {
		s.Validate = func(registrar.Objects) error { return nil }
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	return s
}

func (s Settings) check() error {
	if s.Daemon == "" {
		return errors.New("the name of the daemon must be set")
	}
	if s.Store == nil || s.Peers == nil || s.WatchRole == nil {
		return errors.New("store, peers and watch role must be set")
	}
	return nil
}
