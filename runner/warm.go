package runner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/exchanger"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
)

const (
	// maxWarmUpBytes bounds the state that a starting daemon fetches from a peer.
	maxWarmUpBytes = 512 << 10
	warmUpAttempts = 3
)

// State implements exchanger.StateProvider. It returns the exported topics, up to maxBytes, which
// a starting peer imports. With maxBytes 0 it returns only the revisions and the readiness.
func (d *Daemon) State(maxBytes int) exchanger.State {
	state := exchanger.State{Configuration: d.peerAdapter.Digest(), InForce: d.applied.Load(), Ready: d.configuration.Ready()}
	if maxBytes == 0 {
		return state
	}
	for _, topic := range d.topics() {
		if data := topic.Export(maxBytes); len(data) > 0 && len(data) <= maxBytes {
			maxBytes -= len(data)
			state.Sections = append(state.Sections, sectionOf(topic.Name(), data))
		}
	}
	return state
}

// warmUp imports the state of a peer of the data centre, so that this daemon routes with the same
// knowledge from its first request on.
func (d *Daemon) warmUp() {
	for range warmUpAttempts {
		for _, address := range d.peerAdapter.peersToQuery() {
			if d.importStateFrom(address) {
				return
			}
		}
		select {
		case <-d.stop:
			return
		case <-time.After(queryTimeout):
		}
	}
}

// importStateFrom fetches and imports the state of the peer at the address. It returns false if the
// fetch fails or this daemon has not applied a configuration yet.
func (d *Daemon) importStateFrom(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	state, err := d.peers.FetchState(ctx, address, maxWarmUpBytes)
	if err != nil || d.applied.Load() == 0 {
		return false
	}
	for _, section := range state.Sections {
		for _, topic := range d.topics() {
			if topic.Name() == section.Topic {
				topic.Import(gossiper.Member{DataCentre: d.settings.DataCentre}, section.Data)
			}
		}
	}
	return true
}

// warmUpTracker determines when a starting daemon has observed enough of its targets to take
// traffic.
type warmUpTracker struct {
	mu       sync.Mutex
	started  time.Time
	expected int
	observed map[string]bool
}

func newWarmUpTracker() *warmUpTracker {
	return &warmUpTracker{started: time.Now(), observed: make(map[string]bool)}
}

// setExpected sets the number of configured targets.
func (w *warmUpTracker) setExpected(targets int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expected = targets
}

// observe marks a target as observed, by this daemon or by a peer.
func (w *warmUpTracker) observe(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observed[target] = true
}

// complete reports whether each target has been observed or warmUpTimeout has passed. The timeout
// keeps a dead target from preventing the daemon from serving.
func (w *warmUpTracker) complete() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.observed) >= w.expected || time.Since(w.started) > warmUpTimeout
}
