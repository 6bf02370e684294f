package recorder_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
	"github.com/rosemaryrill/rosemaryrill/seeder"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	service   = "s"
	prefix    = "software/"
	longest   = 10 * time.Second
	newsDelay = 300 * time.Millisecond
)

func TestMain(m *testing.M) { seeder.Main(m) }

// world is a set of daemons with a store. News of it reach the daemons up to newsDelay later, and a tenth of what daemons tell each
// other is lost.
type world struct {
	daemons []*daemon

	// mu protects the fields below, and listed and alive of the daemons.
	mu     sync.Mutex
	random *rand.Rand
	item   storer.Item
	era    storer.Era
	down   bool
	// serving are the versions of the targets now.
	serving []string
	streams []begun
	// goneOn and refused count take-ups.
	goneOn, refused int
	// cuts are the links that are cut, each for messages in one direction.
	cuts map[link]bool
	// told counts the origins in all messages.
	told int
}

// link is the way of messages from one daemon to another.
type link struct{ from, to *daemon }

// begun is a stream that began.
type begun struct {
	recorder.Stream
	software string
	at       time.Time
}

type daemon struct {
	*world
	name     string
	address  netip.AddrPort
	alive    bool
	origins  *recorder.Origins
	versions *recorder.Versions
	listed   []string
	// older is set if the daemon is of an older release: it tells each attempt to begin a stream once, and attempts are the last ones
	// that it made.
	older    bool
	attempts map[uint64]recorder.Origin
	// outOfStep is set while the daemon hears nothing and nobody hears it, except that it reaches the store unless unread is set.
	outOfStep, unread bool
}

// intN returns a random number below n.
func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// set changes the fields that mu protects.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func newWorld(seed uint64, daemons int, serving ...string) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), serving: serving, era: 1, cuts: make(map[link]bool)}
	for i := range daemons {
		w.daemons = append(w.daemons, &daemon{world: w, name: fmt.Sprint("d", i), address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	for _, d := range w.daemons {
		d.start()
	}
	time.Sleep(5 * time.Second)
	return w
}

// start starts the daemon, or starts it anew without what it knew.
func (d *daemon) start() {
	d.stop()
	versions := recorder.NewVersions(recorder.VersionsSettings{
		Name: d.name, Store: d, Prefix: prefix, Retention: func() time.Duration { return longest }, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
	})
	origins := recorder.NewOrigins(recorder.OriginsSettings{
		Versions: versions, Ask: d, Messenger: d, Retention: func() time.Duration { return longest }, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
	})
	var peers []recorder.Daemon
	var names []string
	for _, other := range d.daemons {
		if other != d {
			peers, names = append(peers, recorder.Daemon{Name: other.name, Address: other.address}), append(names, other.name)
		}
	}
	origins.SetPeers(peers)
	versions.SetPeers(names)
	d.set(func() { d.origins, d.versions, d.alive = origins, versions, true })
	d.list()
	versions.Start(context.Background())
	origins.Start(context.Background())
}

func (d *daemon) stop() {
	if d.versions != nil {
		_ = d.versions.Close()
		_ = d.origins.Close()
	}
	d.set(func() { d.alive = false })
}

// list lets the daemon read the store.
func (d *daemon) list() {
	var items []storer.Item
	var serving []string
	d.set(func() {
		if d.item.Version != 0 {
			items = append(items, d.item)
		}
		serving = d.serving
	})
	d.knownVersions().Reset(items, false)
	d.setTargets(serving)
}

func (d *daemon) setTargets(serving []string) {
	d.set(func() { d.listed = serving })
	var targets []placer.Target
	for _, software := range serving {
		targets = append(targets, placer.Target{ID: software, Service: service, Software: software})
	}
	d.knownVersions().SetTargets(targets)
}

// Commit implements recorder.Store.
func (d *daemon) Commit(_ context.Context, transaction storer.Transaction) (storer.Version, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return 0, errors.New("down")
	}
	if transaction.Conditions[0].Version != d.item.Version {
		return 0, &storer.ConflictError{}
	}
	version, err := storer.NewVersion(d.era, d.item.Version.Revision()+1)
	if err != nil {
		return 0, err
	}
	put := transaction.Puts[0]
	d.item = storer.Item{Key: put.Key, Value: put.Value, Version: version}
	d.news(func(other *daemon, item storer.Item) func() {
		return func() {
			other.knownVersions().HandleEvents([]storer.Event{{Kind: storer.EventPut, Item: item}}, false)
		}
	})
	return version, nil
}

// news lets each daemon learn something up to newsDelay later, unless it was started anew meanwhile. The caller holds mu.
func (w *world) news(learn func(d *daemon, item storer.Item) func()) {
	for _, d := range w.daemons {
		apply, process := learn(d, w.item), d.versions
		time.AfterFunc(time.Duration(w.random.Int64N(int64(newsDelay))), func() {
			current := false
			d.set(func() { current = d.alive && !d.outOfStep && d.versions == process })
			if current {
				apply()
			}
		})
	}
}

// serve replaces the versions of the targets.
func (w *world) serve(serving ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serving = serving
	w.news(func(d *daemon, _ storer.Item) func() { return func() { d.setTargets(serving) } })
}

// restore lets the store come back from a copy.
func (w *world) restore(item storer.Item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.era++
	w.item = storer.Item{}
	if item.Version != 0 {
		version, _ := storer.NewVersion(w.era, item.Version.Revision())
		w.item = storer.Item{Key: item.Key, Value: item.Value, Version: version}
	}
	w.news(func(d *daemon, _ storer.Item) func() { return d.list })
}

// TellOrigins implements recorder.Messenger.
func (d *daemon) TellOrigins(to []netip.AddrPort, origins []recorder.Origin) {
	d.set(func() { d.told += len(origins) * len(to) })
	for _, address := range to {
		if other := d.daemons[address.Port()-1]; d.arrives(other) {
			other.knownOrigins().Import(d.name, origins)
		}
	}
}

// AcknowledgeOrigins implements recorder.Messenger.
func (d *daemon) AcknowledgeOrigins(to netip.AddrPort, streams []uint64) {
	if other := d.daemons[to.Port()-1]; d.arrives(other) {
		other.knownOrigins().Acknowledge(d.name, streams)
	}
}

// toldSoFar returns the number of the origins in all messages.
func (w *world) toldSoFar() (told int) {
	w.set(func() { told = w.told })
	return told
}

// arrives reports whether a message to another daemon arrives.
func (d *daemon) arrives(other *daemon) bool {
	return other.isAlive() && !d.isOutOfStep() && !other.isOutOfStep() && !d.isCut(link{d, other}) && d.intN(10) > 0
}

func (w *world) isCut(l link) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[l]
}

// Find implements recorder.Asker.
func (d *daemon) Find(_ context.Context, address netip.AddrPort, stream uint64) (recorder.Origin, bool, error) {
	other := d.daemons[address.Port()-1]
	if !other.isAlive() || d.isOutOfStep() || other.isOutOfStep() || d.isCut(link{d, other}) || d.isCut(link{other, d}) {
		return recorder.Origin{}, false, errors.New("refused")
	}
	if other.isOlder() {
		attempt, known := other.lastAttempt(stream)
		return attempt, known, nil
	}
	origin, known := other.knownOrigins().Known(stream)
	return origin, known, nil
}

// List implements recorder.Store.
func (d *daemon) List(_ context.Context, prefix, _ string) (page storer.Page, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down || d.unread {
		return page, errors.New("down")
	}
	if d.item.Version != 0 && strings.HasPrefix(d.item.Key, prefix) {
		page.Items = []storer.Item{d.item}
	}
	return page, nil
}

func (d *daemon) isOutOfStep() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outOfStep
}

// step lets the daemon fall out of step, or in step again.
func (d *daemon) step(outOfStep, unread bool) {
	d.set(func() { d.outOfStep, d.unread = outOfStep, unread })
	if !outOfStep && d.isAlive() {
		d.list()
	}
}

func (d *daemon) knownVersions() *recorder.Versions {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versions
}

func (d *daemon) knownOrigins() *recorder.Origins {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.origins
}

func (d *daemon) isAlive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.alive
}

func (w *world) randomDaemon() *daemon {
	for {
		if d := w.daemons[w.intN(len(w.daemons))]; d.isAlive() {
			return d
		}
	}
}

// begin begins a stream at some daemon.
func (w *world) begin() { w.beginAt(w.randomDaemon()) }

// beginAt begins a stream at a version that the daemon lists, as placers choose it.
func (w *world) beginAt(d *daemon) {
	var candidates []string
	w.set(func() { candidates = slices.Clone(d.listed) })
	candidates = slices.DeleteFunc(candidates, func(software string) bool { return !d.versions.Recorded(service, software) })
	if len(candidates) == 0 {
		return
	}
	s := begun{Stream: recorder.Stream{Service: service, Account: "a", ID: fmt.Sprint(len(w.streams))}, software: candidates[w.intN(len(candidates))], at: time.Now()}
	d.knownOrigins().Record(s.Stream, s.software)
	w.streams = append(w.streams, s)
}

// takeUp takes up a stream that is not too old. It returns an error if it goes on at another version.
func (w *world) takeUp() error {
	live := slices.DeleteFunc(slices.Clone(w.streams), func(s begun) bool { return time.Since(s.at) > longest })
	if len(live) == 0 {
		return nil
	}
	s := live[w.intN(len(live))]
	software, known := w.randomDaemon().origins.Find(context.Background(), s.Stream)
	switch {
	case !known:
		w.refused++
	case software != s.software:
		return fmt.Errorf("stream %s of %s goes on at %s", s.ID, s.software, software)
	default:
		w.goneOn++
	}
	return nil
}

// stored returns what the store has.
func (w *world) stored() (item storer.Item) {
	w.set(func() { item = w.item })
	return item
}

func (w *world) perm(n int) (permuted []int) {
	w.set(func() { permuted = w.random.Perm(n) })
	return permuted
}

// versions returns one to three versions.
func (w *world) versions() (versions []string) {
	for _, i := range w.perm(4)[:1+w.intN(3)] {
		versions = append(versions, fmt.Sprint("v", i))
	}
	return versions
}
