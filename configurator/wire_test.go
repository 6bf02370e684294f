package configurator_test

import (
	"errors"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// offline returns a Configurator that reaches neither the platform nor peers.
func offline(t testing.TB) *configurator.Configurator {
	platform := platformemulator.New(platformemulator.Settings{})
	platform.SetFaults(platformemulator.Faults{Outage: true})
	c, err := configurator.New(configurator.Settings{
		Daemon:    "offline",
		Store:     platform,
		Peers:     noPeers{},
		WatchRole: noPeers{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestCommitOverHTTP checks the outcomes of commits through the platform's HTTP client.
func TestCommitOverHTTP(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	client, err := storer.NewClient(storer.Settings{Addresses: []netip.AddrPort{address}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := configurator.New(configurator.Settings{
		Daemon:      "daemon",
		Store:       client,
		Peers:       noPeers{},
		WatchRole:   noPeers{},
		StartSpread: time.Nanosecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for !c.Ready() {
		time.Sleep(time.Millisecond)
	}
	faults := map[string]platformemulator.Faults{
		"none":         {},
		"lost answer":  {LoseAnswers: 1},
		"lost request": {LoseRequests: 1},
	}
	for name, fault := range faults {
		platform.SetFaults(fault)
		before := c.Digest().Revision
		revision, err := c.Commit(t.Context(), before, pairChange(0, name))
		if err != nil || revision != before+1 || c.Digest().Revision != revision {
			t.Errorf("%s: got revision %d after %d, %v", name, revision, before, err)
		}
	}
	if counts := c.Counts(); counts.LostAnswers != 2 || counts.Settled != 1 {
		t.Errorf("got %+v, want two lost responses, one of them of a write that took effect", counts)
	}
	platform.SetFaults(platformemulator.Faults{Outage: true})
	var unavailable *storer.UnavailableError
	if _, err := c.Commit(t.Context(), 3, pairChange(1, "outage")); !errors.As(err, &unavailable) || c.Digest().Revision != 3 {
		t.Errorf("outage: got %v at revision %d", err, c.Digest().Revision)
	}
}

// FuzzOffer checks that arbitrary bytes from a peer neither crash a daemon nor change its
// configuration, unless they are a valid first entry.
func FuzzOffer(f *testing.F) {
	f.Add([]byte(`{"revision":1,"previous":"00","change":{}}`))
	f.Add([]byte(`{"revision":18446744073709551615}`))
	f.Add([]byte("\x1f\x8b\x08"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := offline(t)
		offered := c.Offer([]configurator.Entry{data})
		if shown := c.Digest().Revision; (offered == nil) != (shown == 1) || shown > 1 {
			t.Fatalf("offer returned %v at revision %d", offered, shown)
		}
		_ = c.OfferState(data)
		if c.Current().Revision() != c.Digest().Revision {
			t.Fatalf("snapshot %d and digest %d differ", c.Current().Revision(), c.Digest().Revision)
		}
	})
}
