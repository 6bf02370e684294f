// Package gossiper implements a gossip membership protocol for the daemons of a data centre,
// with a few contacts in each other data centre. Its messages also carry small amounts of data
// for other packages.
//
// In each round a daemon increments its heartbeat and exchanges its member list with one random
// member. Each daemon decides for itself that a member is dead, when the member's heartbeat has
// not advanced for DeadAfter. The protocol provides no consensus; decisions that need agreement
// go through the platform.
//
// # Usage
//
//	g, err := gossiper.New(gossiper.Settings{
//		Self:      gossiper.Member{Name: "daemon-1", Address: address, DataCentre: "sapporo"},
//		Transport: transport,
//		Seeds:     seeds,
//		Topics:    []gossiper.Topic{observations},
//	})
//	g.Start()
//	defer g.Close()
//	for _, member := range g.Peers() {
//		// The other live members of this daemon's data centre.
//	}
//
// The server side passes each message that it receives to Receive and sends the result back.
package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("gossiper")

// Digest identifies the current configuration of a daemon by its revision and its hash.
type Digest struct {
	Revision uint64
	Hash     []byte
}

// Section is the data of one topic in a message.
type Section struct {
	Topic string
	Data  []byte
}

// Message is the request or the response of an exchange.
type Message struct {
	From          Member
	Members       []Member
	Configuration Digest
	Sections      []Section
	// Brief, in a request, asks the receiver for a response without members and sections.
	Brief bool
}

// Transport sends a message to the daemon at the address and returns its response.
type Transport interface {
	Exchange(ctx context.Context, address netip.AddrPort, message Message) (Message, error)
}

// Topic is a source and sink of data that is exchanged with members of the same data centre.
type Topic interface {
	// Name identifies the topic in messages.
	Name() string
	// Export returns the data for one message, at most limit bytes, or nothing.
	Export(limit int) []byte
	// Import processes the data that a member exported.
	Import(from Member, data []byte)
}

// Configuration provides the digest of this daemon's configuration and is notified of newer ones.
type Configuration interface {
	// Digest identifies the current configuration of this daemon.
	Digest() Digest
	// OnNewerDigest is called when a message contains a digest with a higher revision than that of
	// this daemon.
	OnNewerDigest(member Member, digest Digest)
}

// Gossiper runs the protocol for one daemon.
type Gossiper struct {
	settings Settings
	table    *table
	random   *lockedRandom
	stop     chan struct{}
	closing  sync.Once
	running  conc.WaitGroup

	joined atomic.Bool

	mu              sync.Mutex
	discovered      []netip.AddrPort
	roundCount      int
	nextTopicIndex  int
	lastRound       time.Time
	changeListeners []func()
}

// New returns a Gossiper that starts no exchange before Start is called.
func New(settings Settings) (g *Gossiper, err error) {
	defer Error.WrapP(&err)
	settings = settings.withDefaults()
	if settings.Self.Name == "" {
		return nil, &SettingsError{Field: "Self.Name"}
	}
	if settings.Transport == nil {
		return nil, &SettingsError{Field: "Transport"}
	}
	return &Gossiper{
		settings: settings,
		table:    newTable(settings.Self, settings.DeadAfter, settings.ForgetAfter),
		random:   &lockedRandom{source: rand.New(settings.Random)},
		stop:     make(chan struct{}),
	}, nil
}

// Start joins the membership and starts the rounds, in the background.
func (g *Gossiper) Start() {
	g.running.Go(g.loop)
}

// Close stops the rounds and waits until the current one has ended.
func (g *Gossiper) Close() error {
	g.closing.Do(func() { close(g.stop) })
	g.running.Wait()
	return nil
}

// OnChange registers a function that is called when a member of this daemon's data centre joins,
// restarts, dies or leaves. The function must not block. OnChange must be called before Start.
func (g *Gossiper) OnChange(f func()) {
	g.changeListeners = append(g.changeListeners, f)
}

// SetDiscovered sets the discovered addresses at which daemons may run, for example from the
// platform's host list. They replace the ones of the previous call and are contacted like seeds.
func (g *Gossiper) SetDiscovered(addresses []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discovered = addresses
}

// seeds returns the configured seeds and the discovered addresses.
func (g *Gossiper) seeds() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Concat(g.settings.Seeds, g.discovered)
}

// Joined reports whether this daemon has finished contacting its seeds at the start,
// successfully or not. Discovered addresses are not contacted at the start.
func (g *Gossiper) Joined() bool {
	return g.joined.Load()
}

// join sends a Greeting to all seeds concurrently, so that the daemon is a member before its first
// round.
func (g *Gossiper) join() {
	g.table.tick(time.Now())
	g.sendAll(g.table.unknownAddresses(g.settings.Seeds), g.Greeting())
	g.joined.Store(true)
}

func (g *Gossiper) loop() {
	g.join()
	timer := time.NewTimer(g.random.duration(g.settings.Round))
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-timer.C:
		}
		g.RunRound()
		timer.Reset(g.nextRoundDelay())
	}
}

// nextRoundDelay returns the period of a round with a jitter of ±20%, so that the rounds of daemons
// that start together do not coincide.
func (g *Gossiper) nextRoundDelay() time.Duration {
	period := g.settings.Round
	return period*4/5 + g.random.duration(period*2/5)
}

// RunRound runs one round: it increments the heartbeat, detects dead members and exchanges with one
// live member. At longer intervals it also exchanges with a dead member, a seed or a contact in
// another data centre.
func (g *Gossiper) RunRound() {
	now := time.Now()
	g.resetDeadlinesAfterPause(now)
	if g.table.tick(now) {
		g.notifyListeners()
	}
	for _, address := range g.partners() {
		g.exchange(address, g.buildMessage(g.settings.SectionBytes))
	}
}

// resetDeadlinesAfterPause detects that this daemon itself was paused for longer than DeadAfter and
// then resets the deadlines of the other members, which would otherwise all be declared dead.
func (g *Gossiper) resetDeadlinesAfterPause(now time.Time) {
	g.mu.Lock()
	paused := !g.lastRound.IsZero() && now.Sub(g.lastRound) > g.settings.DeadAfter
	g.lastRound = now
	g.roundCount++
	g.mu.Unlock()
	if paused {
		g.table.resetDeadlines(now)
	}
}

// partners selects the addresses that this round exchanges with.
func (g *Gossiper) partners() []netip.AddrPort {
	g.mu.Lock()
	round := g.roundCount
	g.mu.Unlock()
	var partners []netip.AddrPort
	if member, ok := g.pickRandom(g.table.live()); ok {
		partners = append(partners, member.Address)
	}
	if len(partners) == 0 || round%recoveryEvery == 0 {
		partners = append(partners, g.recoveryAddresses()...)
	}
	if round%g.settings.RemoteEvery == 0 {
		if member, ok := g.pickRandom(g.table.remoteContacts()); ok {
			partners = append(partners, member.Address)
		}
	}
	return partners
}

// recoveryAddresses returns the addresses of one dead member and of one seed that is not a live
// member, so that the sides of a network partition merge once it ends.
func (g *Gossiper) recoveryAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	if member, ok := g.pickRandom(g.table.dead()); ok {
		addresses = append(addresses, member.Address)
	}
	seeds := g.table.unknownAddresses(g.seeds())
	if len(seeds) > 0 {
		addresses = append(addresses, seeds[g.random.intN(len(seeds))])
	}
	return addresses
}

func (g *Gossiper) pickRandom(members []Member) (member Member, ok bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	return members[g.random.intN(len(members))], true
}

func (g *Gossiper) exchange(address netip.AddrPort, message Message) {
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.ExchangeTimeout)
	defer cancel()
	response, err := g.settings.Transport.Exchange(ctx, address, message)
	if err != nil {
		g.settings.Log.Debug("gossiper: exchange failed", "address", address, "error", err)
		return
	}
	g.applyMessage(response)
}

// Receive processes a message from another daemon and returns the response.
func (g *Gossiper) Receive(message Message) Message {
	g.applyMessage(message)
	limit := g.settings.SectionBytes
	if message.Brief {
		limit = 0
	}
	return g.buildMessage(limit)
}

// Greeting returns a message without members and sections that asks the receiver for its
// members and sections.
func (g *Gossiper) Greeting() Message {
	message := g.buildMessage(0)
	message.Brief = false
	return message
}

// applyMessage merges the content of a message, unless this daemon sent it itself.
func (g *Gossiper) applyMessage(message Message) {
	if message.From.Name == g.settings.Self.Name && message.From.Incarnation == g.settings.Self.Incarnation {
		return
	}
	members := append([]Member{message.From}, message.Members...)
	if g.table.merge(members, time.Now()) {
		g.notifyListeners()
	}
	g.importSections(message)
	g.compareConfiguration(message)
}

func (g *Gossiper) importSections(message Message) {
	if message.From.DataCentre != g.settings.Self.DataCentre {
		return
	}
	for _, section := range message.Sections {
		if len(section.Data) > maxSectionBytes {
			continue // No daemon sends as much, and its values may take many times as much memory.
		}
		for _, topic := range g.settings.Topics {
			if topic.Name() == section.Topic {
				topic.Import(message.From, section.Data)
			}
		}
	}
}

func (g *Gossiper) compareConfiguration(message Message) {
	if g.settings.Configuration == nil {
		return
	}
	if message.Configuration.Revision > g.settings.Configuration.Digest().Revision {
		g.settings.Configuration.OnNewerDigest(message.From, message.Configuration)
	}
}

// buildMessage returns a message of this daemon with sections of at most limit bytes in total. If
// limit is zero, it contains only the entry of this daemon and the digest of the configuration.
func (g *Gossiper) buildMessage(limit int) Message {
	message := Message{From: g.table.self()}
	if g.settings.Configuration != nil {
		message.Configuration = g.settings.Configuration.Digest()
	}
	if limit == 0 {
		message.Brief = true
		return message
	}
	message.Members = g.messageMembers()
	message.Sections = g.sections(limit)
	return message
}

// sections exports the topics until limit is used up, starting with the next topic on each
// call, so that a large topic does not always displace the others.
func (g *Gossiper) sections(limit int) []Section {
	g.mu.Lock()
	first := g.nextTopicIndex
	g.nextTopicIndex++
	g.mu.Unlock()
	var sections []Section
	for i := range g.settings.Topics {
		topic := g.settings.Topics[(first+i)%len(g.settings.Topics)]
		data := topic.Export(limit)
		if len(data) == 0 || len(data) > limit {
			continue
		}
		limit -= len(data)
		sections = append(sections, Section{Topic: topic.Name(), Data: data})
	}
	return sections
}

func (g *Gossiper) notifyListeners() {
	for _, f := range g.changeListeners {
		f()
	}
}
