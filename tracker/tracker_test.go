package tracker_test

import (
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func item(key, value string, version storer.Version) storer.Item {
	return storer.Item{Key: key, Value: []byte(value), Version: version}
}

func put(key, value string, version storer.Version) storer.Event {
	return storer.Event{Kind: storer.EventPut, Item: item(key, value, version)}
}

func deleted(key string, version storer.Version) storer.Event {
	return storer.Event{Kind: storer.EventDelete, Item: storer.Item{Key: key, Version: version}}
}

// idRecorder records the ids of the targets after the last change; those of leaving targets end with "-".
type idRecorder struct{ ids string }

func newTargets(s *idRecorder) *tracker.TargetTracker {
	return tracker.NewTargetTracker(tracker.TargetTrackerSettings{
		Decode: func(item storer.Item) (placer.Target, error) {
			if string(item.Value) == "torn" {
				return placer.Target{}, errors.New("torn")
			}
			return placer.Target{ID: item.Key, Leaving: string(item.Value) == "leaving"}, nil
		},
		OnChange: func(targets []placer.Target) {
			var ids []string
			for _, target := range targets {
				id := target.ID
				if target.Leaving {
					id += "-"
				}
				ids = append(ids, id)
			}
			slices.Sort(ids)
			s.ids = strings.Join(ids, " ")
		},
		Logger: discardLogger(),
	})
}

func TestTargetsFollowTheirEntries(t *testing.T) {
	s := &idRecorder{}
	targets := newTargets(s)
	targets.Reset([]storer.Item{item("a", "", 1), item("b", "", 2), item("bad", "torn", 3)}, false)
	if s.ids != "a b" {
		t.Errorf("after the list: %q", s.ids)
	}
	targets.HandleEvents([]storer.Event{put("b", "leaving", 4), deleted("a", 5), put("c", "", 6), put("c", "torn", 7)}, false)
	if s.ids != "b- c" {
		t.Errorf("after changes: %q", s.ids)
	}
	targets.HandleEvents([]storer.Event{put("b", "", 3), deleted("c", 2)}, false)
	if s.ids != "b- c" {
		t.Errorf("after events that are older than the known entries: %q", s.ids)
	}
}

func TestTargetsWithMissingEntriesAreKeptAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &idRecorder{}
		targets := newTargets(s)
		defer func() { _ = targets.Close() }()
		targets.Reset([]storer.Item{item("a", "", 1), item("b", "", 2), item("c", "", 3)}, false)
		targets.HandleEvents([]storer.Event{deleted("a", 5)}, true)
		targets.Reset([]storer.Item{item("c", "", 3)}, true)
		if s.ids != "a b c" {
			t.Errorf("right after the outage: %q", s.ids)
		}
		targets.HandleEvents([]storer.Event{put("a", "", 7)}, true)
		time.Sleep(tracker.MissingEntryGrace + time.Millisecond)
		synctest.Wait()
		if s.ids != "a c" {
			t.Errorf("after MissingEntryGrace: %q", s.ids)
		}
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	var accepted []int64
	var wanted []tracker.Weights
	declarations := tracker.NewDeclarationTracker(tracker.DeclarationTrackerSettings{
		Decode: func(item storer.Item) (declared tracker.Declared, err error) {
			switch string(item.Value) {
			case "torn":
				return declared, errors.New("torn")
			case "weights":
				declared.Weights = &tracker.Weights{Model: "m", Version: 2}
			default:
				declared.Catalog = cataloger.New(int64(item.Value[0]-'0'), cataloger.Declarations{})
			}
			return declared, nil
		},
		OnCatalog: func(catalog *cataloger.Catalog) { accepted = append(accepted, catalog.Version()) },
		OnWeights: func(weights tracker.Weights) { wanted = append(wanted, weights) },
		Logger:    discardLogger(),
	})
	if declarations.Catalog() != nil {
		t.Error("there is a configuration before the first was declared")
	}
	declarations.Reset([]storer.Item{item("c", "3", 1), item("w", "weights", 2)}, false)
	declarations.HandleEvents([]storer.Event{put("c", "5", 3), put("c", "torn", 4), deleted("c", 5)}, false)
	declarations.Reset([]storer.Item{item("c", "4", 1)}, true)
	if !slices.Equal(accepted, []int64{3, 5}) || declarations.Catalog().Version() != 5 || len(wanted) != 1 {
		t.Errorf("accepted %v, in force %d, wanted %v", accepted, declarations.Catalog().Version(), wanted)
	}
}

// Guards against a daemon that needs no keys any more since a configuration has lost its list of accounts (CONFIG, ROUTE), also if
// it learns only later that there was one.
func TestKeysStayRequired(t *testing.T) {
	for _, c := range []struct {
		steps string
		want  bool
	}{
		{"without", false},
		{"with", true},
		{"with without", true},
		{"with without without", true},
		{"marked without", true},
		{"without marked", true},
		{"without marked without", true},
		{"without with", true},
	} {
		lists := false
		declarations := tracker.NewDeclarationTracker(tracker.DeclarationTrackerSettings{
			Decode: func(item storer.Item) (tracker.Declared, error) {
				return tracker.Declared{Catalog: cataloger.New(int64(item.Version), cataloger.Declarations{ListsAccounts: lists})}, nil
			},
			OnCatalog: func(*cataloger.Catalog) {}, Logger: discardLogger(),
		})
		for i, step := range strings.Fields(c.steps) {
			if step == "marked" {
				declarations.RequireKeys()
				continue
			}
			lists = step == "with"
			declarations.HandleEvents([]storer.Event{put("c", "", storer.Version(i+1))}, false)
		}
		if got := declarations.Catalog().RequiresKeys(); got != c.want {
			t.Errorf("%s: keys are required: %t", c.steps, got)
		}
	}
}

func TestPeersExcludeOwnDaemon(t *testing.T) {
	var known []tracker.Peer
	own, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	peers := tracker.NewPeerTracker(tracker.PeerTrackerSettings{OwnAddress: own, OnChange: func(p []tracker.Peer, _ tracker.OwnEntry) { known = p }, Logger: discardLogger()})
	peers.Reset([]storer.Item{item("h/a", own.String(), 1), item("h/b", string(tracker.EncodePeer(tracker.Peer{Address: other, DataCentre: "north", LinkMegabits: 200})), 2), item("h/c", "?", 3)}, false)
	if !slices.Equal(known, []tracker.Peer{{Key: "h/b", Address: other, DataCentre: "north", LinkMegabits: 200}}) {
		t.Errorf("peers are %v", known)
	}
	peers.Reset(nil, true)
	if len(known) != 1 {
		t.Error("peers whose entries expired in an outage are removed")
	}
	peers.HandleEvents([]storer.Event{deleted("h/b", 4)}, false)
	if len(known) != 0 {
		t.Errorf("peers are %v", known)
	}
}

// keyRecorder is a sink that records keys.
type keyRecorder struct{ keys []string }

func (k *keyRecorder) Reset(items []storer.Item, _ bool) {
	k.keys = nil
	for _, item := range items {
		k.keys = append(k.keys, item.Key)
	}
}

func (k *keyRecorder) HandleEvents(events []storer.Event, _ bool) {
	for _, event := range events {
		k.keys = append(k.keys, event.Item.Key)
	}
}

func TestPrefixMuxRoutesKeysByPrefix(t *testing.T) {
	a, b := &keyRecorder{}, &keyRecorder{}
	mux := tracker.PrefixMux{"x/a/": a, "x/b/": b}
	mux.Reset([]storer.Item{item("x/a/1", "", 1), item("x/b/1", "", 2)}, false)
	mux.HandleEvents([]storer.Event{put("x/b/2", "", 3), put("x/c/1", "", 4)}, false)
	if !slices.Equal(a.keys, []string{"x/a/1"}) || !slices.Equal(b.keys, []string{"x/b/1", "x/b/2"}) {
		t.Errorf("a got %v, b got %v", a.keys, b.keys)
	}
}
