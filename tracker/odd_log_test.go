package tracker_test

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// Guards against a log line, or a long one, for each heartbeat of a writer whose entries cannot be read.
func TestOddEntriesAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	huge := errors.New(strings.Repeat("x", 1<<20))
	targets := tracker.NewTargetTracker(tracker.TargetTrackerSettings{
		Decode:   func(storer.Item) (placer.Target, error) { return placer.Target{}, huge },
		OnChange: func([]placer.Target) {}, Logger: logger,
	})
	peers := tracker.NewPeerTracker(tracker.PeerTrackerSettings{OnChange: func([]tracker.Peer, tracker.OwnEntry) {}, Logger: logger})
	declarations := tracker.NewDeclarationTracker(tracker.DeclarationTrackerSettings{
		Decode: func(storer.Item) (tracker.Declared, error) { return tracker.Declared{}, huge }, Logger: logger,
	})
	sinks := map[string]tracker.ItemSink{"target": targets, "peer": peers, "declaration": declarations}
	for name, sink := range sinks {
		log.Reset()
		odd := strings.Repeat("?", 1<<20)
		sink.Reset([]storer.Item{item("odd", odd, 1)}, false)
		for version := range storer.Version(100) {
			sink.HandleEvents([]storer.Event{put("odd", odd, 2+version)}, false)
		}
		sink.Reset([]storer.Item{item("odd", odd, 101)}, false)
		if lines := strings.Count(log.String(), "\n"); lines != 1 || log.Len() > 1000 {
			t.Errorf("%s: %d lines with %d bytes", name, lines, log.Len())
		}
		log.Reset()
		sink.HandleEvents([]storer.Event{deleted("odd", 200)}, false)
		sink.HandleEvents([]storer.Event{put("odd", odd, 201)}, false)
		if !strings.Contains(log.String(), "odd") {
			t.Errorf("%s: an odd entry is not logged again after the former one was deleted", name)
		}
	}
}
