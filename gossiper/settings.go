package gossiper

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	defaultRound           = time.Second
	defaultExchangeTimeout = time.Second
	defaultDeadAfter       = 5 * time.Second
	defaultForgetAfter     = time.Minute
	defaultRemoteEvery     = 4
	// recoveryEvery is the interval, in rounds, of exchanges with a dead member and a seed.
	recoveryEvery       = 5
	defaultSectionBytes = 800
	// maxSectionBytes is the size of the largest section of another daemon that is taken in.
	maxSectionBytes = 16 << 10
	// pushFanOut is how many members of this daemon's data centre PushDigest sends the digest to.
	pushFanOut = 2
	// maxContactsPerDataCentre is the maximum number of members of another data centre in the
	// table.
	maxContactsPerDataCentre = 3
	// maxContactsPerMessage is the maximum number of members of all other data centres in a
	// message.
	maxContactsPerMessage = 6
)

// Settings are the parameters of a Gossiper. Zero durations and counts are replaced by defaults.
type Settings struct {
	// Self is the entry of this daemon. A zero incarnation is replaced by the current time in
	// microseconds.
	Self          Member
	Transport     Transport
	Configuration Configuration
	Topics        []Topic
	// Seeds are the addresses of daemons that are contacted at the start. A round that sees no
	// other live member, and every recoveryEvery-th round, contacts one of them again unless it
	// is a live member.
	Seeds []netip.AddrPort
	// Round is the period of the rounds before jitter; 1 s by default.
	Round time.Duration
	// ExchangeTimeout is the timeout of one exchange; 1 s by default.
	ExchangeTimeout time.Duration
	// DeadAfter is how long a heartbeat may fail to advance before its member is declared dead;
	// 5 s by default.
	DeadAfter time.Duration
	// ForgetAfter is how long after the last advance of its heartbeat a dead member is removed
	// from the table; 1 minute by default.
	ForgetAfter time.Duration
	// RemoteEvery is the interval, in rounds, of exchanges with another data centre; 4 by
	// default.
	RemoteEvery int
	// SectionBytes limits the total size of the sections of one message; 800 by default.
	SectionBytes int
	// Random is used to select partners and to jitter rounds; randomly seeded by default.
	Random rand.Source
	Log    *slog.Logger
}

func (s Settings) withDefaults() Settings {
	if s.Round == 0 {
		s.Round = defaultRound
	}
	if s.ExchangeTimeout == 0 {
		s.ExchangeTimeout = defaultExchangeTimeout
	}
	if s.DeadAfter == 0 {
		s.DeadAfter = defaultDeadAfter
	}
	if s.ForgetAfter == 0 {
		s.ForgetAfter = defaultForgetAfter
	}
	if s.RemoteEvery == 0 {
		s.RemoteEvery = defaultRemoteEvery
	}
	if s.SectionBytes == 0 {
		s.SectionBytes = defaultSectionBytes
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	if s.Random == nil {
		s.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if s.Self.Incarnation == 0 {
		s.Self.Incarnation = uint64(time.Now().UnixMicro())
	}
	s.Self.State = StateLive
	return s
}
