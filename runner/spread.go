package runner

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/exchanger"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	// maxQueriedPeers bounds how many peers are queried for the highest revision or for the state
	// that a starting daemon imports.
	maxQueriedPeers = 3
	queryTimeout    = 500 * time.Millisecond
	fetchTimeout    = 5 * time.Second
	maxFetchBytes   = 256 << 10
	// platformWatchers is how many daemons of a data centre watch the configuration in the
	// platform. As many poll the platform's host list.
	platformWatchers = 2
	watchDuty        = "watch"
)

var errNotJoined = errors.New("this daemon has not joined the gossip membership yet")

// watchRole selects the daemons of a data centre that watch the platform.
type watchRole struct {
	gossip *gossiper.Gossiper
}

// Watches implements configurator.WatchRole.
func (w watchRole) Watches() bool {
	return w.gossip.AmongFirst(watchDuty, platformWatchers)
}

// peerAdapter connects the configuration and the ledger to the other daemons. It fetches
// configuration entries that this daemon lacks and serves those that peers lack.
type peerAdapter struct {
	client *exchanger.Client
	seeds  []netip.AddrPort
	log    *slog.Logger
	gossip *gossiper.Gossiper

	configuration atomic.Pointer[configurator.Configurator]
	fetching      atomic.Bool
	mu            sync.Mutex
	closed        bool
	fetches       conc.WaitGroup
}

func newPeerAdapter(client *exchanger.Client, seeds []netip.AddrPort, log *slog.Logger) *peerAdapter {
	return &peerAdapter{client: client, seeds: seeds, log: log}
}

func (s *peerAdapter) setConfiguration(configuration *configurator.Configurator) {
	s.configuration.Store(configuration)
}

// Close waits for running fetches and prevents new ones.
func (s *peerAdapter) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.fetches.Wait()
}

// Digest implements gossiper.Configuration.
func (s *peerAdapter) Digest() gossiper.Digest {
	configuration := s.configuration.Load()
	if configuration == nil {
		return gossiper.Digest{}
	}
	digest := configuration.Digest()
	return gossiper.Digest{Revision: uint64(digest.Revision), Hash: digest.Hash[:]}
}

// OnNewerDigest implements gossiper.Configuration. It fetches the entries that this daemon lacks
// from the member, unless a fetch is running already.
func (s *peerAdapter) OnNewerDigest(member gossiper.Member, _ gossiper.Digest) {
	if s.configuration.Load() == nil || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.fetches.Go(func() {
		defer s.fetching.Store(false)
		if err := s.fetch(member.Address); err != nil {
			s.log.Debug("spread: cannot fetch the newer configuration of a member", "member", member.Name, "error", err)
		}
	})
}

func (s *peerAdapter) fetch(address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	configuration := s.configuration.Load()
	for {
		revision := configuration.Digest().Revision
		entries, state, err := s.client.FetchEntries(ctx, address, uint64(revision), maxFetchBytes)
		if err != nil {
			return err
		}
		if err := offerFetched(configuration, entries, state); err != nil {
			return err
		}
		if configuration.Digest().Revision == revision {
			return nil
		}
	}
}

func offerFetched(configuration *configurator.Configurator, entries [][]byte, state []byte) error {
	if len(state) > 0 {
		return configuration.OfferState(state)
	}
	if len(entries) == 0 {
		return nil
	}
	converted := make([]configurator.Entry, 0, len(entries))
	for _, entry := range entries {
		converted = append(converted, configurator.Entry(entry))
	}
	return configuration.Offer(converted)
}

// EntriesAfter implements exchanger.ConfigurationLog.
func (s *peerAdapter) EntriesAfter(after uint64, maxBytes int) (entries [][]byte, state []byte, err error) {
	configuration := s.configuration.Load()
	if configuration == nil || configuration.Digest().Revision <= registrar.Revision(after) {
		return nil, nil, nil
	}
	for _, entry := range configuration.Entries(registrar.Revision(after), maxBytes) {
		entries = append(entries, entry)
	}
	if len(entries) > 0 {
		return entries, nil, nil
	}
	state, err = configuration.EncodeState()
	return nil, state, err
}

// HighestRevision implements configurator.Peers. It queries at most maxQueriedPeers live peers, first
// those that watch the platform and thus have new entries soonest, or seeds while no peer is known. Peers that are not ready themselves are not counted: otherwise
// daemons that start together would accept each other's incomplete configuration as current.
func (s *peerAdapter) HighestRevision(ctx context.Context) (highest registrar.Revision, reachable int, err error) {
	if s.gossip == nil || !s.gossip.Joined() {
		return 0, 0, errNotJoined
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	workers := pool.NewWithResults[exchanger.State]()
	for _, address := range s.peersToQuery() {
		workers.Go(func() exchanger.State {
			// On an error the zero State counts as not ready.
			state, _ := s.client.FetchState(ctx, address, 0)
			return state
		})
	}
	for _, state := range workers.Wait() {
		if state.Ready {
			reachable++
			highest = max(highest, registrar.Revision(state.Configuration.Revision))
		}
	}
	return highest, reachable, nil
}

func (s *peerAdapter) peersToQuery() []netip.AddrPort {
	var addresses []netip.AddrPort
	if s.gossip != nil {
		for _, member := range gossiper.Ranked(s.gossip.Peers(), watchDuty) {
			addresses = append(addresses, member.Address)
		}
	}
	if len(addresses) == 0 {
		addresses = s.seeds
	}
	return addresses[:min(len(addresses), maxQueriedPeers)]
}

// Outcome implements dispatcher.Peers.
func (s *peerAdapter) Outcome(ctx context.Context, daemon string, id dispatcher.IntentID) (dispatcher.Answer, dispatcher.State, error) {
	member, ok := s.gossip.Find(daemon)
	if !ok {
		return dispatcher.Answer{}, dispatcher.StateNotHeld, &unknownDaemonError{name: daemon}
	}
	return s.client.Outcome(ctx, member.Address, id)
}

// unknownDaemonError is returned for a daemon that is not a member.
type unknownDaemonError struct {
	name string
}

func (e *unknownDaemonError) Error() string {
	return "daemon " + e.name + " is not known"
}
