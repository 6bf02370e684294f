package router

import (
	"cmp"
	"time"
)

// Defaults of Settings.
const (
	DefaultWaitWeight           = 1.0
	DefaultRecomputationWeight  = 2.0
	DefaultBlockTokens          = 2048
	DefaultPrefillTimePerToken  = 50 * time.Microsecond
	DefaultServiceTime          = 500 * time.Millisecond
	DefaultRemoteLatency        = 2 * time.Millisecond
	DefaultMaxLoadFactor        = 1.25
	DefaultIdleLoad             = 0.7
	DefaultInteractiveReserve   = 0.25
	DefaultMaxTargets           = 480
	DefaultKnownPrefixes        = 1 << 18
	DefaultHeatHalfLife         = 30 * time.Second
	DefaultHotChains            = 64
	DefaultTransferSetupTime    = 5 * time.Millisecond
	DefaultTransferTimePerToken = 10 * time.Microsecond
	DefaultMinMoveBlocks        = 2
)

// targetsPerSpareColumn is the number of targets for each spare column. With the spare columns,
// one in targetsPerSpareColumn targets can restart before the hints of earlier incarnations have
// to be swept.
const targetsPerSpareColumn = 16

// Settings are the parameters of a Router. Zero values are replaced by the defaults.
type Settings struct {
	// WaitWeight and RecomputationWeight are the weights of waiting and of recomputing uncached
	// tokens in the score of a candidate. Defaults: DefaultWaitWeight, DefaultRecomputationWeight.
	WaitWeight          float64
	RecomputationWeight float64
	// BlockTokens is the size of a cache block. Default: DefaultBlockTokens.
	BlockTokens int
	// PrefillTimePerToken is the time that an idle target needs to compute one prompt token.
	// Default: DefaultPrefillTimePerToken.
	PrefillTimePerToken time.Duration
	// ServiceTime is the initial estimate of the time that a call holds a slot; the router
	// updates it from its own calls. Default: DefaultServiceTime.
	ServiceTime time.Duration
	// DataCentre is the data centre of the daemon, and RemoteLatency the additional time that a
	// call to another data centre takes. Default: DefaultRemoteLatency.
	DataCentre    string
	RemoteLatency time.Duration
	// Daemons is the number of daemons that send to the pool, this one included, until SetDaemonCount
	// changes it. Default: 1.
	Daemons int
	// IdleLoad is the number of calls, as a fraction of the mean, below which a target counts as
	// idle, so that recomputation weighs less there. Default: DefaultIdleLoad.
	IdleLoad float64
	// InteractiveReserve is the fraction of a target's slots that deferrable calls leave free.
	// Default: DefaultInteractiveReserve.
	InteractiveReserve float64
	// MaxLoadFactor is the load of a target, as a multiple of the mean, beyond which rendezvous
	// hashing skips it. Default: DefaultMaxLoadFactor.
	MaxLoadFactor float64
	// MaxTargets is the largest number of targets. Default: DefaultMaxTargets.
	MaxTargets int
	// KnownPrefixes bounds the table of known prefixes. Default: DefaultKnownPrefixes.
	KnownPrefixes int
	// HeatHalfLife is the time in which the heat of a prefix halves. Default:
	// DefaultHeatHalfLife.
	HeatHalfLife time.Duration
	// HotChains is the number of recent chains that are kept so that their blocks can be moved when
	// a target drains. Default: DefaultHotChains.
	HotChains int
	// TransferSetupTime is the fixed time that a move of cached blocks takes, and
	// TransferTimePerToken the additional time for each token. Defaults: DefaultTransferSetupTime,
	// DefaultTransferTimePerToken.
	TransferSetupTime    time.Duration
	TransferTimePerToken time.Duration
	// MinMoveBlocks is the smallest number of blocks that is moved. Default:
	// DefaultMinMoveBlocks.
	MinMoveBlocks int
	// Seed seeds the random choices.
	Seed uint64
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

func (s Settings) withDefaults() Settings {
	s.WaitWeight = cmp.Or(s.WaitWeight, DefaultWaitWeight)
	s.RecomputationWeight = cmp.Or(s.RecomputationWeight, DefaultRecomputationWeight)
	s.BlockTokens = cmp.Or(s.BlockTokens, DefaultBlockTokens)
	s.PrefillTimePerToken = cmp.Or(s.PrefillTimePerToken, DefaultPrefillTimePerToken)
	s.ServiceTime = cmp.Or(s.ServiceTime, DefaultServiceTime)
	s.RemoteLatency = cmp.Or(s.RemoteLatency, DefaultRemoteLatency)
	s.Daemons = cmp.Or(s.Daemons, 1)
	s.IdleLoad = cmp.Or(s.IdleLoad, DefaultIdleLoad)
	s.InteractiveReserve = cmp.Or(s.InteractiveReserve, DefaultInteractiveReserve)
	s.MaxLoadFactor = cmp.Or(s.MaxLoadFactor, DefaultMaxLoadFactor)
	s.MaxTargets = cmp.Or(s.MaxTargets, DefaultMaxTargets)
	s.KnownPrefixes = cmp.Or(s.KnownPrefixes, DefaultKnownPrefixes)
	s.HeatHalfLife = cmp.Or(s.HeatHalfLife, DefaultHeatHalfLife)
	s.HotChains = cmp.Or(s.HotChains, DefaultHotChains)
	s.TransferSetupTime = cmp.Or(s.TransferSetupTime, DefaultTransferSetupTime)
	s.TransferTimePerToken = cmp.Or(s.TransferTimePerToken, DefaultTransferTimePerToken)
	s.MinMoveBlocks = cmp.Or(s.MinMoveBlocks, DefaultMinMoveBlocks)
	if s.Now == nil {
		s.Now = time.Now
	}
	return s
}
