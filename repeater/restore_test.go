package repeater_test

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/repeater"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// at returns a version.
func at(t *testing.T, era storer.Era, revision uint64) storer.Version {
	t.Helper()
	version, err := storer.NewVersion(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// Guards against a reader that keeps what a restore of the store has undone (CONFIG): it knew an item that the copy had not
// read, and that is equivalent to the copy's one again. The reader must list all items.
func TestReaderOfEarlierEraListsAgain(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}, Equivalent: func(before, after storer.Item) bool {
		return string(before.Value) == string(after.Value)
	}})
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: at(t, 1, 5)}}, false)
	items.Confirm(at(t, 1, 10), clocker.Now())
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: at(t, 2, 5)}}, true)
	items.Confirm(at(t, 2, 8), clocker.Now())
	for _, after := range []storer.Version{at(t, 1, 9), at(t, 1, 30)} {
		if events, err := items.Watch(t.Context(), after, 0); err != nil || !events.Compacted {
			t.Errorf("a reader at revision %d of the earlier era gets %v, %v", after.Revision(), keysOf(events), err)
		}
	}
	events, err := items.Watch(t.Context(), 0, 0)
	if err != nil || events.Revision != at(t, 2, 8) || !slices.Equal(keysOf(events), []string{"+a1"}) {
		t.Errorf("a list gives %v, %+v, %v", keysOf(events), events, err)
	}
	if events, err := items.Watch(t.Context(), at(t, 2, 8), 0); err != nil || events.Compacted || len(events.Events) > 0 {
		t.Errorf("a reader of the same era gets %v, %+v, %v", keysOf(events), events, err)
	}
}

// Guards against readers that learn of no deletion (CONFIG): the store has gone back behind the versions of the copy's items.
func TestItemsLostByRestoreAreDeleted(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}})
	items.Reset([]storer.Item{{Key: "a", Version: at(t, 1, 5)}, {Key: "lost", Version: at(t, 1, 90)}}, false)
	items.Confirm(at(t, 1, 90), clocker.Now())
	items.Reset([]storer.Item{{Key: "a", Version: at(t, 2, 5)}}, true)
	items.Confirm(at(t, 2, 6), clocker.Now())
	if events, err := items.Watch(t.Context(), 0, 0); err != nil || !slices.Equal(keysOf(events), []string{"+a"}) {
		t.Errorf("a list gives %v, %v", keysOf(events), err)
	}
}

// eraPeers are daemons whose answers come from the era at the same place.
type eraPeers []storer.Version

func (p eraPeers) Watch(_ context.Context, daemon netip.AddrPort, _ string, _ storer.Version, _ time.Duration) (storer.Events, error) {
	return storer.Events{Revision: p[daemon.Port()]}, nil
}

// eraStore is a store that answers with one revision.
type eraStore struct{ revision storer.Version }

func (s *eraStore) List(context.Context, string, string) (storer.Page, error) {
	return storer.Page{Revision: s.revision}, nil
}

func (s *eraStore) Watch(context.Context, string, storer.Version, time.Duration) (storer.Events, error) {
	return storer.Events{Revision: s.revision}, nil
}

// Guards against a copy from before a restore that looks newer than the store (CONFIG): a daemon that has heard of the restore
// reads neither a list nor changes from a neighbour that has not.
func TestCopyOfEarlierEraIsNotRead(t *testing.T) {
	earlier, later := at(t, 1, 90), at(t, 2, 30)
	peers, store := eraPeers{earlier, earlier}, &eraStore{revision: later}
	address := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port) }
	var sources []netip.AddrPort
	reader := repeater.NewReader(repeater.ReaderSettings{
		Store: store, Peers: peers, Sources: func() []netip.AddrPort { return sources }, Serves: func() bool { return true },
		Logger: slog.New(slog.DiscardHandler),
	})
	defer func() { _ = reader.Close() }()
	if page, err := reader.List(t.Context(), prefix, ""); err != nil || page.Revision != later {
		t.Fatalf("%+v, %v", page, err)
	}
	sources = []netip.AddrPort{address(0), address(1)}
	if page, err := reader.List(t.Context(), prefix, ""); err != nil || page.Revision != later {
		t.Errorf("the list is of revision %d of era %d, %v", page.Revision.Revision(), page.Revision.Era(), err)
	}
	if events, err := reader.Watch(t.Context(), prefix, earlier, 0); err != nil || events.Revision != later {
		t.Errorf("the changes are up to revision %d of era %d, %v", events.Revision.Revision(), events.Revision.Era(), err)
	}
}

// Guards against an older configuration for daemons that start (CONFIG): the store has brought back an older item, and lost
// another one. The copy keeps what is in force, until something as new is written.
func TestSupersedingItemsStayAfterRestore(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}, Supersedes: func(known, restored storer.Item) bool {
		return string(known.Value) > string(restored.Value)
	}})
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: at(t, 1, 5)}}, false)
	items.Confirm(at(t, 1, 10), clocker.Now())
	items.HandleEvents([]storer.Event{put("a", "3", at(t, 1, 11)), put("b", "1", at(t, 1, 12))}, false)
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: at(t, 2, 5)}}, true)
	items.Confirm(at(t, 2, 8), clocker.Now())
	list := func() []string {
		events, err := items.Watch(t.Context(), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return keysOf(events)
	}
	if got := list(); !slices.Equal(got, []string{"+a3", "+b1"}) {
		t.Errorf("after the restore a list gives %v", got)
	}
	items.HandleEvents([]storer.Event{put("a", "2", at(t, 2, 9))}, false)
	if got := list(); !slices.Equal(got, []string{"+a3", "+b1"}) {
		t.Errorf("after an older item was written a list gives %v", got)
	}
	items.HandleEvents([]storer.Event{put("a", "3", at(t, 2, 10)), put("a", "2", at(t, 2, 11)), deletion("b", at(t, 2, 12))}, false)
	if got := list(); !slices.Equal(got, []string{"+a2"}) {
		t.Errorf("after as new an item was written in this era, a list gives %v", got)
	}
}
