package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	peerv1 "github.com/rosemaryrill/rosemaryrill/proto/peer/v1"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	fanoutLocalLatency     = 500 * time.Microsecond
	fanoutRemoteLatency    = 1500 * time.Microsecond
	fanoutFetchBytes       = 256 << 10
	fanoutPlatformWatchers = 2
)

// fanout is a fleet of daemons that run only the configuration and the gossip membership.
type fanout struct {
	platform             *platformemulator.Platform
	dataCentres          int
	daemonsPerDataCentre int
	daemons              []*fanoutDaemon
	byAddress            map[netip.AddrPort]*fanoutDaemon
	stop                 chan struct{}
	group                conc.WaitGroup

	digestPushes atomic.Int64
	fetches      atomic.Int64
	bytes        atomic.Int64
}

// fanoutTraffic counts the messages that changes cause: digest pushes, which send a configuration
// digest to a peer, fetches, the bytes of both without transport overhead, and calls to the platform.
// Periodic gossip exchanges are not counted, since they take place without a change too.
type fanoutTraffic struct {
	digestPushes  int64
	fetches       int64
	bytes         int64
	platformCalls int64
}

func (c fanoutTraffic) minus(other fanoutTraffic) fanoutTraffic {
	return fanoutTraffic{
		digestPushes:  c.digestPushes - other.digestPushes,
		fetches:       c.fetches - other.fetches,
		bytes:         c.bytes - other.bytes,
		platformCalls: c.platformCalls - other.platformCalls,
	}
}

func (f *fanout) traffic() fanoutTraffic {
	traffic := fanoutTraffic{digestPushes: f.digestPushes.Load(), fetches: f.fetches.Load(), bytes: f.bytes.Load()}
	for _, count := range f.platform.Calls() {
		traffic.platformCalls += int64(count)
	}
	return traffic
}

// fanoutDaemon connects a Configurator to a Gossiper in the same way as the runner's Daemon. Its
// transport is a direct call with a simulated latency.
type fanoutDaemon struct {
	fleet         *fanout
	dataCentre    string
	configuration *configurator.Configurator
	gossip        *gossiper.Gossiper
	fetching      atomic.Bool
}

func newFanout(dataCentres, daemonsPerDataCentre int) *fanout {
	f := &fanout{
		platform:             platformemulator.New(platformemulator.Settings{}),
		dataCentres:          dataCentres,
		daemonsPerDataCentre: daemonsPerDataCentre,
		byAddress:            map[netip.AddrPort]*fanoutDaemon{},
		stop:                 make(chan struct{}),
	}
	for i := range dataCentres * daemonsPerDataCentre {
		d := &fanoutDaemon{fleet: f, dataCentre: fmt.Sprintf("centre-%d", i/daemonsPerDataCentre)}
		f.daemons = append(f.daemons, d)
		f.byAddress[fanoutAddress(i)] = d
	}
	for i, d := range f.daemons {
		d.start(i)
	}
	for _, d := range f.daemons {
		d.gossip.Start()
		f.group.Go(d.pushDigestOnChange)
	}
	return f
}

func (f *fanout) close() {
	close(f.stop)
	for _, d := range f.daemons {
		_ = d.gossip.Close()
		_ = d.configuration.Close()
	}
	f.group.Wait()
}

func (d *fanoutDaemon) start(index int) {
	name := fmt.Sprintf("daemon-%d", index)
	gossip, err := gossiper.New(gossiper.Settings{
		Self:          gossiper.Member{Name: name, Address: fanoutAddress(index), DataCentre: d.dataCentre},
		Transport:     d,
		Configuration: d,
		Seeds:         d.fleet.seeds(),
	})
	if err != nil {
		panic(err)
	}
	d.gossip = gossip
	d.configuration, err = configurator.New(configurator.Settings{
		Daemon:    name,
		Store:     d.fleet.platform.Connection(name),
		Peers:     d,
		WatchRole: d,
	})
	if err != nil {
		panic(err)
	}
}

// seeds returns the address of the first daemon of each data centre.
func (f *fanout) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for i := range f.dataCentres {
		seeds = append(seeds, fanoutAddress(i*f.daemonsPerDataCentre))
	}
	return seeds
}

// pushDigestOnChange notifies other daemons after each change of the configuration.
func (d *fanoutDaemon) pushDigestOnChange() {
	for {
		changed := d.configuration.Changed()
		select {
		case <-changed:
			d.gossip.PushDigest()
		case <-d.fleet.stop:
			return
		}
	}
}

// Watches implements configurator.WatchRole.
func (d *fanoutDaemon) Watches() bool {
	return d.gossip.AmongFirst("watch", fanoutPlatformWatchers)
}

// HighestRevision implements configurator.Peers.
func (d *fanoutDaemon) HighestRevision(context.Context) (highest registrar.Revision, reachable int, err error) {
	for _, member := range d.gossip.Peers() {
		reachable++
		highest = max(highest, d.fleet.byAddress[member.Address].configuration.Digest().Revision)
	}
	return highest, reachable, nil
}

// Digest implements gossiper.Configuration.
func (d *fanoutDaemon) Digest() gossiper.Digest {
	digest := d.configuration.Digest()
	return gossiper.Digest{Revision: uint64(digest.Revision), Hash: digest.Hash[:]}
}

// OnNewerDigest implements gossiper.Configuration.
func (d *fanoutDaemon) OnNewerDigest(member gossiper.Member, _ gossiper.Digest) {
	if !d.fetching.CompareAndSwap(false, true) {
		return
	}
	d.fleet.group.Go(func() {
		defer d.fetching.Store(false)
		d.fetch(d.fleet.byAddress[member.Address])
	})
}

func (d *fanoutDaemon) fetch(from *fanoutDaemon) {
	d.delayOneWay(from)
	after := d.configuration.Digest().Revision
	entries := from.configuration.Entries(after, fanoutFetchBytes)
	d.delayOneWay(from)
	d.fleet.fetches.Add(1)
	answer := &peerv1.FetchEntriesResponse{}
	for _, entry := range entries {
		answer.Entries = append(answer.Entries, entry)
	}
	request := &peerv1.FetchEntriesRequest{After: uint64(after), MaxBytes: fanoutFetchBytes}
	d.fleet.bytes.Add(int64(proto.Size(request) + proto.Size(answer)))
	_ = d.configuration.Offer(entries)
}

// Exchange implements gossiper.Transport.
func (d *fanoutDaemon) Exchange(_ context.Context, address netip.AddrPort, message gossiper.Message) (gossiper.Message, error) {
	other := d.fleet.byAddress[address]
	d.delayOneWay(other)
	answer := other.gossip.Receive(message)
	d.delayOneWay(other)
	if message.Brief {
		d.fleet.digestPushes.Add(1)
		d.fleet.bytes.Add(messageBytes(message) + messageBytes(answer))
	}
	return answer, nil
}

// delayOneWay sleeps for the simulated one-way latency to the other daemon.
func (d *fanoutDaemon) delayOneWay(other *fanoutDaemon) {
	if d.dataCentre == other.dataCentre {
		time.Sleep(fanoutLocalLatency)
		return
	}
	time.Sleep(fanoutRemoteLatency)
}

// messageBytes returns the encoded size of a brief message.
func messageBytes(message gossiper.Message) int64 {
	return int64(proto.Size(&peerv1.ExchangeRequest{
		From: &peerv1.Member{
			Name:        message.From.Name,
			Incarnation: message.From.Incarnation,
			Address:     message.From.Address.String(),
			DataCentre:  message.From.DataCentre,
			Heartbeat:   message.From.Heartbeat,
			State:       peerv1.MemberState_MEMBER_STATE_LIVE,
		},
		Configuration: &peerv1.Digest{Revision: message.Configuration.Revision, Hash: message.Configuration.Hash},
		Brief:         message.Brief,
	}))
}
