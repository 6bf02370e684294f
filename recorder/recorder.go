// Package recorder remembers which version of the targets' software began each stream, so that a caller who takes a stream up
// again, perhaps at another daemon, gets the rest from the same version: what two versions write does not fit together.
//
// What begins a stream is its first event at the caller. The daemon that is about to pass it on tells the target's version to the first
// daemons in the stream's order (see package ranker). An attempt without an event is told to nobody, since the next one may go to another
// version. So a request has one origin for all time, and a message that is lost can't make another one of it. Each message is repeated
// until it is acknowledged; see teller. A daemon that gets a take-up asks the first daemons. Daemons of older releases tell attempts; see
// confirmer. Nothing about single streams is written to the
// store. If nobody knows the version, for example since all daemons were killed at once, the stream may go on only where one
// version alone can have begun it. Versions tells which can: it keeps the versions of each service that serve or served lately in
// the store, where they outlive all daemons, and are read there before one version counts as the only one: this daemon may have been out of
// step while another one joined.
//
// # Usage
//
//	versions := recorder.NewVersions(recorder.VersionsSettings{Name: name, Store: store})
//	origins := recorder.NewOrigins(recorder.OriginsSettings{Versions: versions, Messenger: messenger, Ask: ask})
//	origins.Start(ctx)
//	defer origins.Close()
//	origins.Record(stream, target.Software)
//	software, known := origins.Find(ctx, stream)
//	if !known {
//		// Refuse the take-up.
//	}
package recorder

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/supervisor"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recorder")

const (
	// askTimeout bounds the time for which a take-up waits for the answers of other daemons.
	askTimeout = 250 * time.Millisecond
	// maxOrigins bounds the streams of half the retention that are remembered.
	maxOrigins = 1 << 16
)

// Stream identifies a stream.
type Stream struct {
	Service string
	// Account is the caller's account, so that no caller finds the streams of another one.
	Account string
	// ID is the id of the request that began the stream.
	ID string
}

// hash returns the number that stands for the stream.
func (s Stream) hash() uint64 {
	return xxh3.HashString(s.Service + "\x00" + s.Account + "\x00" + s.ID)
}

// Origin is the version of the targets' software that began a stream.
type Origin struct {
	// Stream is the hash of the stream's identity.
	Stream   uint64
	Software string
	// Began is set if the caller got the first event from there. Daemons of older releases tell each attempt to begin a stream; it is
	// not set for these, which don't count by themselves. See confirmer.
	Began bool
}

// beganNumber stands for Began in messages, in the place in which older releases have the number of an attempt. It is larger than any of
// these, and for these releases the largest number counts.
const beganNumber = 1 << 30

// OriginOf returns the origin in a message, whose number is that of an attempt or beganNumber.
func OriginOf(stream uint64, software string, number uint64) Origin {
	return Origin{Stream: stream, Software: software, Began: number >= beganNumber}
}

// Number returns the number that stands for the origin in messages.
func (o Origin) Number() uint64 {
	if o.Began {
		return beganNumber
	}
	return 0
}

// Daemon is another daemon.
type Daemon struct {
	Name    string
	Address netip.AddrPort
}

// Asker asks another daemon for the origin of a stream.
type Asker interface {
	Find(ctx context.Context, daemon netip.AddrPort, stream uint64) (origin Origin, known bool, err error)
}

// OriginsSettings are the parameters of Origins.
type OriginsSettings struct {
	Versions  *Versions
	Messenger Messenger
	Ask       Asker
	// Retention returns how long a stream and its take-ups last at most.
	Retention func() time.Duration
	Now       func() time.Time
	Logger    *slog.Logger
}

// Origins remembers the origins of streams: of those that this daemon began, and of those that others told it. Its methods are
// safe for concurrent use.
type Origins struct {
	settings  OriginsSettings
	teller    *teller
	confirmer *confirmer
	cancel    context.CancelFunc
	tasks     conc.WaitGroup

	mu sync.Mutex
	// recent are the origins since rotatedAt, and older those of the time before. Both together reach back for the retention.
	recent, older map[uint64]Origin
	rotatedAt     time.Time
}

// NewOrigins returns Origins that know no stream.
func NewOrigins(settings OriginsSettings) *Origins {
	teller := newTeller(settings)
	return &Origins{
		settings: settings, teller: teller, confirmer: newConfirmer(settings, teller.addressOf), cancel: func() {},
		recent: make(map[uint64]Origin), older: make(map[uint64]Origin), rotatedAt: settings.Now(),
	}
}

// Start tells other daemons what they have not acknowledged, and asks those of older releases, until Close or the end of ctx.
func (o *Origins) Start(ctx context.Context) {
	ctx, o.cancel = context.WithCancel(ctx)
	o.tasks.Go(func() { supervisor.Run(ctx, o.settings.Logger, "tell origins", o.teller.run) })
	o.tasks.Go(func() { supervisor.Run(ctx, o.settings.Logger, "confirm attempts", o.confirmer.run) })
}

// Close waits for the end of what Start began.
func (o *Origins) Close() error {
	o.cancel()
	o.tasks.Wait()
	return nil
}

// SetPeers sets the other daemons.
func (o *Origins) SetPeers(peers []Daemon) { o.teller.setPeers(peers) }

// Record records the version of the targets' software that began a stream, and tells other daemons. A stream without an id can't be taken
// up and isn't recorded.
func (o *Origins) Record(stream Stream, software string) {
	if stream.ID == "" {
		return
	}
	origin := Origin{Stream: stream.hash(), Software: software, Began: true}
	o.keep(origin)
	o.teller.tell(origin)
}

// Import records what another daemon has told, and acknowledges it. Attempts that may have begun nothing have to be confirmed. A daemon
// that is not known yet gets no acknowledgement, and tells it again.
func (o *Origins) Import(daemon string, origins []Origin) {
	var kept []uint64
	for _, origin := range origins {
		if !origin.Began {
			o.confirmer.add(daemon, origin)
			continue
		}
		o.keep(origin)
		kept = append(kept, origin.Stream)
	}
	if address, known := o.teller.addressOf(daemon); known && len(kept) > 0 {
		o.settings.Messenger.AcknowledgeOrigins(address, kept)
	}
}

// Acknowledge records that another daemon knows the origins of some streams.
func (o *Origins) Acknowledge(daemon string, streams []uint64) { o.teller.acknowledge(daemon, streams) }

func (o *Origins) keep(origin Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate()
	o.recent[origin.Stream] = origin
}

// rotate forgets the older origins once the recent ones reach back for the retention. The caller holds mu.
func (o *Origins) rotate() {
	now := o.settings.Now()
	if now.Sub(o.rotatedAt) < o.settings.Retention() && len(o.recent) < maxOrigins {
		return
	}
	o.older, o.recent, o.rotatedAt = o.recent, make(map[uint64]Origin), now
}

// lookUp returns a known origin. The caller holds mu.
func (o *Origins) lookUp(stream uint64) (origin Origin, known bool) {
	if origin, known = o.recent[stream]; !known {
		origin, known = o.older[stream]
	}
	return origin, known
}

// Known returns the origin of a stream as far as this daemon knows it.
func (o *Origins) Known(stream uint64) (origin Origin, known bool) {
	o.mu.Lock()
	origin, known = o.lookUp(stream)
	o.mu.Unlock()
	if known {
		return origin, true
	}
	return o.confirmer.known(stream)
}

// Find returns the version of the targets' software that began the stream, or that alone can have begun it by what the store has now.
// known is false if there are several, or if the store does not tell.
func (o *Origins) Find(ctx context.Context, stream Stream) (software string, known bool) {
	software, source := "", "nobody"
	origin, found := o.Known(stream.hash())
	switch {
	case stream.ID == "":
	case found:
		software, source = origin.Software, "own"
	default:
		if origin, found = o.askOthers(ctx, stream.hash()); found {
			software, source = origin.Software, "others"
		}
	}
	possible := o.settings.Versions.Possible(stream.Service)
	if !found && len(possible) == 1 {
		var confirmed bool
		possible, confirmed = o.settings.Versions.PossibleNow(ctx, stream.Service)
		if confirmed && len(possible) == 1 {
			software, source, found = possible[0], "one version", true
		}
	}
	o.settings.Logger.Info("origin of a stream", "stream", shortText(stream.ID), "service", stream.Service, "source", source, "software", software, "possible", possible)
	return software, found
}

// maxIDBytes bounds the text of a request id in the log.
const maxIDBytes = 64

func shortText(text string) string { return text[:min(len(text), maxIDBytes)] }

// askOthers asks the daemons that may have been told of the stream. The first one that knows it counts; the others are not waited for.
func (o *Origins) askOthers(ctx context.Context, stream uint64) (origin Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var first sync.Once
	var calls conc.WaitGroup
	for _, holder := range o.teller.holdersOf(stream) {
		calls.Go(func() {
			answer, answered, err := o.settings.Ask.Find(ctx, holder, stream)
			if err != nil || !answered || !answer.Began {
				return
			}
			first.Do(func() {
				origin, known = answer, true
				cancel()
			})
		})
	}
	calls.Wait()
	return origin, known
}
