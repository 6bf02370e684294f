package limiter

import (
	"cmp"
	"time"
)

// Defaults of Settings.
const (
	DefaultCapacity           = 64
	DefaultMaxQueue           = 1024
	DefaultDeferrableFraction = 0.75
	DefaultPeerTimeout        = 5 * time.Second
	DefaultLoanDuration       = 5 * time.Second
	DefaultRetryRatio         = 0.1
	DefaultRetryBurst         = 10
)

// Settings configure a Limiter. Zero values are replaced by the defaults.
type Settings struct {
	// Name is the name of this daemon in the reports of its peers.
	Name string
	// Capacity is how many calls may run at once until SetCapacity. Default: DefaultCapacity.
	Capacity int
	// MaxQueue is how many calls may wait. Default: DefaultMaxQueue.
	MaxQueue int
	// DeferrableFraction is the fraction of the capacity that deferrable calls may use. Default:
	// DefaultDeferrableFraction.
	DeferrableFraction float64
	// PeerTimeout is the age from which a report of a peer is ignored when loans are made. Default:
	// DefaultPeerTimeout.
	PeerTimeout time.Duration
	// LoanDuration is how long a loan to a peer lasts without renewal. Default: DefaultLoanDuration.
	LoanDuration time.Duration
	// Retries configures the retry budget.
	Retries RetryBudgetSettings
}

func (s Settings) withDefaults() Settings {
	s.Capacity = cmp.Or(s.Capacity, DefaultCapacity)
	s.MaxQueue = cmp.Or(s.MaxQueue, DefaultMaxQueue)
	s.DeferrableFraction = cmp.Or(s.DeferrableFraction, DefaultDeferrableFraction)
	s.PeerTimeout = cmp.Or(s.PeerTimeout, DefaultPeerTimeout)
	s.LoanDuration = cmp.Or(s.LoanDuration, DefaultLoanDuration)
	return s
}
