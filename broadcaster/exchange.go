package broadcaster

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// minInterval is the interval between two messages with few receivers, and intervalPerReceiver makes it grow with
	// their number.
	minInterval         = 50 * time.Millisecond
	intervalPerReceiver = 4 * time.Millisecond
	// maxInterval keeps the interval several times shorter than contributionTimeout, however many receivers there are.
	maxInterval = 250 * time.Millisecond
	// maxDirectPeers is the number of peers up to which each daemon sends to all others.
	maxDirectPeers = 16
	// directIntervalPerPeer makes the interval grow with the number of peers while each daemon sends to all others.
	directIntervalPerPeer = 10 * time.Millisecond
	// contributionTimeout is how long the work of a daemon or of a data centre counts after its last message.
	contributionTimeout = 800 * time.Millisecond
	// aggregatorTimeout is how long a daemon relies on an aggregator after the last message from it.
	aggregatorTimeout = 800 * time.Millisecond
	// aliveTimeout is how long a daemon counts as alive after the last sign of it.
	aliveTimeout = 1500 * time.Millisecond
	// localTries is the number of daemons of its own data centre to which a daemon sends while it knows of no aggregator.
	// It grows by the same number in each aggregatorTimeout without one.
	localTries = 3
	// remoteTries is the number of daemons of another data centre to which an aggregator sends while it does not know
	// which of them is the aggregator there. It grows by the same number in each aggregatorTimeout without one.
	remoteTries = 2
)

// Outgoing are datagrams for several receivers.
type Outgoing struct {
	To        []netip.AddrPort
	Datagrams [][]byte
}

// ExchangeSettings are the parameters of an Exchange.
type ExchangeSettings struct {
	Name       string
	DataCentre string
	// LinkMegabits is the bandwidth of this daemon's link in Mbit/s, as the peers know it.
	LinkMegabits float64
	State        State
	// Origins gets what other daemons tell of the origins of streams. Default: nobody.
	Origins Origins
	// Snapshot returns some of the parts that targets and stores hold, for a daemon that starts. Default: none.
	Snapshot func(count int) []placer.Holding
	// Quotas gets the messages of other daemons on quotas. Default: nobody.
	Quotas Quotas
	Now    func() time.Time
}

// Exchange decides what a daemon sends to which others, and processes what it receives. It does no network I/O, and its
// methods are safe for concurrent use.
type Exchange struct {
	settings ExchangeSettings
	self     Peer
	started  time.Time

	mu        sync.Mutex
	topology  *topology
	aggregate *aggregate
	// heard is when the last message of each daemon arrived, and listed when the aggregator last listed a daemon, by
	// the hash of its name.
	heard  map[string]time.Time
	listed map[uint64]time.Time
	// remoteHeard is when the last message of each other data centre arrived.
	remoteHeard map[string]time.Time
	// aggregator is the sender of the last used message with the state of all daemons, which arrived at aggregatorAt.
	aggregator   Peer
	aggregatorAt time.Time
	// sent are the own loads in the last message to an aggregator.
	sent []placer.Load
	// sentDemands are the own demands that were last sent to an aggregator.
	sentDemands demandReport
	snapshots   snapshots
	// lastEmpty is set if the last exported update was empty.
	lastEmpty bool
}

// NewExchange returns an Exchange without peers.
func NewExchange(settings ExchangeSettings) *Exchange {
	self := Peer{Name: settings.Name, DataCentre: settings.DataCentre, LinkMegabits: settings.LinkMegabits}
	return &Exchange{
		settings: settings, self: self, started: settings.Now(), topology: newTopology(self, nil), aggregate: newAggregate(),
		heard: make(map[string]time.Time), listed: make(map[uint64]time.Time), remoteHeard: make(map[string]time.Time),
	}
}

// SetPeers replaces the other daemons.
func (e *Exchange) SetPeers(peers []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.topology = newTopology(e.self, peers)
	now := e.settings.Now()
	maps.DeleteFunc(e.heard, func(_ string, at time.Time) bool { return now.Sub(at) > aliveTimeout })
	maps.DeleteFunc(e.listed, func(_ uint64, at time.Time) bool { return now.Sub(at) > aliveTimeout })
}

// Interval returns the time between two messages.
func (e *Exchange) Interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.topology.aggregated() {
		return max(minInterval, time.Duration(e.topology.peerCount)*directIntervalPerPeer)
	}
	return min(max(minInterval, time.Duration(len(e.topology.local))*intervalPerReceiver), maxInterval)
}

// PeerCount returns the number of other daemons: of those that are registered, or of those that were heard of lately if
// these are more.
func (e *Exchange) PeerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, heard := e.settings.Now(), 0
	for _, at := range e.heard {
		if now.Sub(at) <= aliveTimeout {
			heard++
		}
	}
	return max(heard, e.topology.peerCount)
}

// Alive reports whether a daemon is alive as far as is known: whether there was a sign of it within aliveTimeout, or
// whether it is registered in another data centre, whose daemons send no messages to this one.
func (e *Exchange) Alive(peer Peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.topology.aggregated() && peer.DataCentre != e.self.DataCentre {
		return true
	}
	now := e.settings.Now()
	return now.Sub(e.heard[peer.Name]) <= aliveTimeout || now.Sub(e.listed[nameHash(peer.Name)]) <= aliveTimeout
}

// address returns the address of another daemon.
func (e *Exchange) address(name string) (address netip.AddrPort, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address, found = e.topology.addresses[name]
	return address, found
}

// heardLately reports whether a message of the daemon arrived within aggregatorTimeout.
func (e *Exchange) heardLately(peer Peer) bool {
	return e.settings.Now().Sub(e.heard[peer.Name]) <= aggregatorTimeout
}

// mayAggregate reports whether a local daemon is likely to aggregate if it is asked to: whether a message of it arrived
// lately, or the last aggregator listed it.
func (e *Exchange) mayAggregate(peer Peer) bool {
	return e.heardLately(peer) || e.settings.Now().Sub(e.listed[nameHash(peer.Name)]) <= aggregatorTimeout
}

// localTries returns the number of local daemons to which this one sends while it knows of no aggregator.
func (e *Exchange) localTries() int { return e.tries(localTries, e.aggregatorAt) }

// remoteTries returns the number of daemons of another data centre to which an aggregator sends while none of them sends
// to it.
func (e *Exchange) remoteTries(dataCentre string) int {
	return e.tries(remoteTries, e.remoteHeard[dataCentre])
}

// tries returns a number that grows by step in each aggregatorTimeout since a time, or since the start if that is zero.
func (e *Exchange) tries(step int, since time.Time) int {
	if since.IsZero() {
		since = e.started
	}
	return step * (1 + int(e.settings.Now().Sub(since)/aggregatorTimeout))
}

// sendsSums reports whether the daemon of another data centre sent the state of its data centre lately.
func (e *Exchange) sendsSums(peer Peer) bool {
	_, sends := e.aggregate.remote[peer.Name]
	return sends
}

// Send returns the datagrams that are due now.
func (e *Exchange) Send() []Outgoing {
	own := e.settings.State.Export()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.topology.aggregated() {
		return e.sendToAll(own)
	}
	now := e.settings.Now()
	e.aggregate.expire(now)
	limit := e.localTries()
	if len(e.aggregate.members) > 0 {
		limit = len(e.topology.local) // Others rely on this daemon, whatever its rank.
	}
	upstream := e.topology.upstream(limit, e.mayAggregate)
	last := upstream[len(upstream)-1]
	if leads := last.Name == e.self.Name; leads || len(e.aggregate.members) > 0 {
		return e.sendAggregate(own, leads, upstream, now)
	}
	return e.sendUpstream(own, upstream)
}

// sendToAll returns the own state for all peers. Of consecutive empty updates only the first is sent, which makes the
// peers drop the work of this daemon.
func (e *Exchange) sendToAll(own placer.PeerUpdate) []Outgoing {
	wasEmpty := e.lastEmpty
	e.lastEmpty = own.Empty()
	if e.lastEmpty && wasEmpty || e.topology.peerCount == 0 {
		return nil
	}
	receivers := addresses(e.topology.local, e.self)
	for _, daemons := range e.topology.remote {
		receivers = append(receivers, addresses(daemons, e.self)...)
	}
	return []Outgoing{{To: receivers, Datagrams: Message{Sender: e.self.Name, Update: own}.Encode()}}
}

// sendUpstream returns the own state for the aggregator of the data centre.
func (e *Exchange) sendUpstream(own placer.PeerUpdate, upstream []Peer) []Outgoing {
	e.sent = own.Loads
	e.noteDemands(own)
	return []Outgoing{{To: addresses(upstream, e.self), Datagrams: Message{Sender: e.self.Name, Update: own}.Encode()}}
}

// sendAggregate returns the state of the data centre for the aggregators of the others, and the state of all daemons for
// the members: all local daemons if this daemon leads, and otherwise those that report to it. If it does not lead, it
// also reports to the daemon that does.
func (e *Exchange) sendAggregate(own placer.PeerUpdate, leads bool, upstream []Peer, now time.Time) (outgoing []Outgoing) {
	forRemote, forMembers := e.aggregate.combine(e.self, own, now)
	e.noteDemands(own)
	members := e.topology.local
	if leads {
		e.importWork(forMembers.Update, own.Loads)
	} else {
		members = e.reporting()
		outgoing = append(outgoing, e.sendUpstream(own, upstream)...)
	}
	for _, part := range []struct {
		receivers []netip.AddrPort
		message   Message
	}{
		{addresses(members, e.self), forMembers},
		{addresses(e.topology.remoteAggregators(e.sendsSums, e.remoteTries), e.self), forRemote},
	} {
		outgoing = append(outgoing, Outgoing{To: part.receivers, Datagrams: part.message.Encode()})
	}
	return outgoing
}

// reporting returns the local daemons that sent their state lately.
func (e *Exchange) reporting() (members []Peer) {
	for _, peer := range e.topology.local {
		if _, reports := e.aggregate.members[peer.Name]; reports {
			members = append(members, peer)
		}
	}
	return members
}

// importWork replaces the known work of the fleet. own is the part of it that is this daemon's.
func (e *Exchange) importWork(fleet placer.PeerUpdate, own []placer.Load) {
	others := placer.PeerUpdate{Loads: without(fleet.Loads, own)}
	others.AccountDemands, others.ServiceSupplies = demandsWithout(fleet, e.sentDemands.current(e.settings.Now()))
	e.settings.State.Import(fleetName, others)
}

// noteDemands keeps the own demands, if the update has any, since sums that are received later contain them.
func (e *Exchange) noteDemands(own placer.PeerUpdate) {
	if len(own.ServiceSupplies) > 0 {
		e.sentDemands = demandReport{update: own, receivedAt: e.settings.Now()}
	}
}

// Receive processes a datagram. It reports whether a message should be sent at once, since a changed upgrade plan has to
// be passed on.
func (e *Exchange) Receive(datagram []byte) (sendNow bool, err error) {
	message, err := Decode(datagram)
	if err != nil || message.Sender == e.self.Name {
		return false, err
	}
	if message.Scope == ScopeReceiver {
		e.receiveOrigins(message)
		e.receiveHoldings(message)
		if e.settings.Quotas != nil && len(message.Quota) > 0 {
			e.settings.Quotas.Receive(message.Sender, message.Quota)
		}
		return false, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.settings.Now()
	e.heard[message.Sender] = now
	if !e.topology.aggregated() && message.Scope == ScopeDaemon {
		e.settings.State.Import(message.Sender, message.Update)
		return false, nil
	}
	switch message.Scope {
	case ScopeDaemon:
		e.aggregate.addMember(message.Sender, message.Update, now)
		sendNow = e.aggregate.localPlan.observe(message.Update.UpgradePlan, now)
	case ScopeDataCentre:
		e.aggregate.addRemote(message.Sender, message.Update, now)
		sendNow = e.aggregate.remotePlan.observe(message.Update.UpgradePlan, now)
		e.remoteHeard[e.topology.dataCentreOf(message.Sender)] = now
	case ScopeFleet:
		e.receiveFleet(message, now)
	}
	news := message.Update
	news.Loads, news.LoadsOmitted = nil, true
	news.AccountDemands, news.ServiceSupplies = nil, nil
	e.settings.State.Import(message.Sender, news)
	return sendNow, nil
}

// receiveOrigins passes on what a message tells of the origins of streams.
func (e *Exchange) receiveOrigins(message Message) {
	if e.settings.Origins == nil {
		return
	}
	if len(message.Origins) > 0 {
		e.settings.Origins.Import(message.Sender, message.Origins)
	}
	if len(message.Acknowledged) > 0 {
		e.settings.Origins.Acknowledge(message.Sender, message.Acknowledged)
	}
}

// receiveFleet uses the state of all daemons, unless a better ranked aggregator has sent it lately.
func (e *Exchange) receiveFleet(message Message, now time.Time) {
	for _, hash := range message.Members {
		e.listed[hash] = now
	}
	sender := e.topology.localPeer(message.Sender)
	if now.Sub(e.aggregatorAt) <= aggregatorTimeout && compareRanks(e.aggregator, sender) < 0 || message.Update.LoadsOmitted {
		return
	}
	e.aggregator, e.aggregatorAt = sender, now
	e.importWork(message.Update, e.sent)
}

func addresses(peers []Peer, self Peer) (receivers []netip.AddrPort) {
	for _, peer := range peers {
		if peer.Name != self.Name {
			receivers = append(receivers, peer.Address)
		}
	}
	return receivers
}
