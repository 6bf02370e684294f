package recorder

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/ranker"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// told is the number of other daemons that have to know the origin of a stream.
	told = 2
	// holders is the number of daemons that come first in a stream's order and may know its origin. The first of them are told at once,
	// the others if those don't acknowledge. All are asked, since the daemons may not agree for a moment on which there are.
	holders = 4
	// tellInterval is the time between two looks at what has to be told again, and repeatInterval the time that a daemon has to
	// acknowledge an origin before it is told again.
	tellInterval   = 100 * time.Millisecond
	repeatInterval = 250 * time.Millisecond
	// substituteDelay is the time after which the further holders are told, too.
	substituteDelay = 400 * time.Millisecond
	// maxRepeats bounds the origins that are told again in a tellInterval. At 25 bytes each they take a bandwidth of 13 KB a second.
	maxRepeats = 50
	// maxPerMessage bounds the origins in one message.
	maxPerMessage = 25
	// maxTold bounds the streams whose holders are remembered. The oldest ones are given up first, since they end first.
	maxTold = 1 << 14
)

// Messenger sends messages to other daemons, which may get them or not.
type Messenger interface {
	// TellOrigins tells daemons the origins of streams.
	TellOrigins(daemons []netip.AddrPort, origins []Origin)
	// AcknowledgeOrigins tells a daemon that its message with the origins of these streams has arrived.
	AcknowledgeOrigins(daemon netip.AddrPort, streams []uint64)
}

// teller tells the origins of the streams that this daemon began, or let go on, to their holders until enough of them acknowledge it. A
// holder that is cut off learns them once it is back, or others do in its place. When daemons come and go, so do the holders.
type teller struct {
	messenger Messenger
	retention func() time.Duration
	now       func() time.Time
	logger    *slog.Logger

	mu        sync.Mutex
	names     []string
	addresses map[string]netip.AddrPort
	// streams are the streams of the retention, and order lists them from the oldest one on; those that were told anew stand in it twice.
	// open are those that not enough daemons have acknowledged.
	streams map[uint64]*toldStream
	order   []*toldStream
	open    map[uint64]*toldStream
}

// toldStream is a stream with the holders of its origin.
type toldStream struct {
	origin  Origin
	since   time.Time
	holders []holder
}

// holder is a daemon that is told an origin.
type holder struct {
	name         string
	toldAt       time.Time
	acknowledged bool
}

func newTeller(settings OriginsSettings) *teller {
	return &teller{
		messenger: settings.Messenger, retention: settings.Retention, now: settings.Now, logger: settings.Logger,
		addresses: make(map[string]netip.AddrPort), streams: make(map[uint64]*toldStream), open: make(map[uint64]*toldStream),
	}
}

// setPeers replaces the other daemons. Streams whose holders are not the same any more are told to the new ones.
func (t *teller) setPeers(peers []Daemon) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.addresses)
	names := make([]string, 0, len(peers))
	for _, peer := range peers {
		names = append(names, peer.Name)
		t.addresses[peer.Name] = peer.Address
	}
	slices.Sort(names)
	if slices.Equal(names, t.names) {
		return
	}
	t.names = names
	for _, s := range t.streams {
		t.assign(s)
	}
}

// assign sets the holders of a stream by the daemons that there are. The caller holds mu.
func (t *teller) assign(s *toldStream) {
	former := s.holders
	s.holders = nil
	for _, name := range ranker.First(t.names, s.origin.Stream, holders) {
		at := slices.IndexFunc(former, func(h holder) bool { return h.name == name })
		if at < 0 {
			s.holders = append(s.holders, holder{name: name})
			continue
		}
		s.holders = append(s.holders, former[at])
	}
	t.settle(s)
}

// settle keeps the stream open while too few of its holders have acknowledged it. The caller holds mu.
func (t *teller) settle(s *toldStream) {
	if s.acknowledged() < min(told, len(s.holders)) {
		t.open[s.origin.Stream] = s
		return
	}
	delete(t.open, s.origin.Stream)
}

func (s *toldStream) acknowledged() (count int) {
	for _, h := range s.holders {
		if h.acknowledged {
			count++
		}
	}
	return count
}

// dueHolders returns the holders that have to be told the origin now.
func (s *toldStream) dueHolders(now time.Time) (due []*holder) {
	for i := range s.holders {
		h := &s.holders[i]
		early := i >= told && now.Sub(s.since) < substituteDelay
		if !h.acknowledged && !early && now.Sub(h.toldAt) >= repeatInterval {
			due = append(due, h)
		}
	}
	return due
}

// tell tells an origin, for the first time or because the stream goes on here.
func (t *teller) tell(origin Origin) {
	t.mu.Lock()
	now := t.now()
	s := &toldStream{origin: origin, since: now}
	t.forget(now)
	t.streams[origin.Stream] = s
	t.order = append(t.order, s)
	t.assign(s)
	var receivers []netip.AddrPort
	for _, h := range s.dueHolders(now) {
		h.toldAt = now
		receivers = append(receivers, t.addresses[h.name])
	}
	t.mu.Unlock()
	if len(receivers) > 0 {
		t.messenger.TellOrigins(receivers, []Origin{origin})
	}
}

// forget forgets the streams that are older than the retention, and the oldest ones of too many. The caller holds mu.
func (t *teller) forget(now time.Time) {
	unknown := 0
	for len(t.order) > 0 && (len(t.order) >= maxTold || now.Sub(t.order[0].since) > t.retention()) {
		oldest := t.order[0]
		t.order = t.order[1:]
		stream := oldest.origin.Stream
		if t.streams[stream] != oldest {
			continue // It was told anew.
		}
		if t.open[stream] != nil {
			unknown++
		}
		delete(t.streams, stream)
		delete(t.open, stream)
	}
	if unknown > 0 {
		t.logger.Info("origins given up that too few daemons know", "streams", unknown)
	}
}

// acknowledge records that a daemon knows the origins of some streams.
func (t *teller) acknowledge(daemon string, streams []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, stream := range streams {
		s, isOpen := t.open[stream]
		if !isOpen {
			continue
		}
		for i := range s.holders {
			if s.holders[i].name == daemon {
				s.holders[i].acknowledged = true
			}
		}
		t.settle(s)
	}
}

// addressOf returns the address of another daemon; known is false if there is none with this name.
func (t *teller) addressOf(daemon string) (address netip.AddrPort, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, known = t.addresses[daemon]
	return address, known
}

// holdersOf returns the addresses of the daemons that may know the origin of a stream.
func (t *teller) holdersOf(stream uint64) (addresses []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range ranker.First(t.names, stream, holders) {
		addresses = append(addresses, t.addresses[name])
	}
	return addresses
}

// run repeats what was not acknowledged until the end of ctx.
func (t *teller) run(ctx context.Context) {
	for waiter.Sleep(ctx, tellInterval) {
		for receiver, origins := range t.repeats() {
			for message := range slices.Chunk(origins, maxPerMessage) {
				t.messenger.TellOrigins([]netip.AddrPort{receiver}, message)
			}
		}
	}
}

// repeat is an origin that has to be told to a holder again.
type repeat struct {
	origin Origin
	holder *holder
}

// repeats returns what has to be told now, by the address of its receiver. What was told the longest time ago comes first.
func (t *teller) repeats() map[netip.AddrPort][]Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.forget(now)
	var due []repeat
	for _, s := range t.open {
		for _, h := range s.dueHolders(now) {
			due = append(due, repeat{origin: s.origin, holder: h})
		}
	}
	slices.SortFunc(due, func(a, b repeat) int {
		return cmp.Or(a.holder.toldAt.Compare(b.holder.toldAt), cmp.Compare(a.origin.Stream, b.origin.Stream))
	})
	byReceiver := make(map[netip.AddrPort][]Origin)
	for _, r := range due[:min(len(due), maxRepeats)] {
		r.holder.toldAt = now
		receiver := t.addresses[r.holder.name]
		byReceiver[receiver] = append(byReceiver[receiver], r.origin)
	}
	return byReceiver
}
