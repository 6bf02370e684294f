package reporter_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/reporter"
)

// newRecorderWithoutPeers starts a recorder that has no peers.
func newRecorderWithoutPeers(t *testing.T, settings reporter.Settings, p faultPlan) (*reporter.Recorder, client) {
	t.Helper()
	store := client{fakePlatform: newFakePlatform(p, time.Now())}
	settings.Daemon = "d"
	settings.DataCentre = "sapporo"
	recorder, err := reporter.NewRecorder(settings, store, &fakePeers{client: store})
	if err != nil {
		t.Fatal(err)
	}
	return recorder, store
}

func readAll(t *testing.T, store reporter.Store) reporter.Report {
	t.Helper()
	time.Sleep(20 * time.Minute)
	report, err := reporter.NewReader(store).Read(context.Background(), time.Now().Add(-24*time.Hour), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestEqualEntriesAreAggregated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder, store := newRecorderWithoutPeers(t, reporter.Settings{}, faultPlan{})
		first := time.Now()
		for range 5 {
			recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Account: "a", Code: "full", Run: reporter.NotRun})
			time.Sleep(time.Second)
		}
		recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Account: "b", Code: "full", Run: reporter.MayHaveRun, Count: 3})
		if err := recorder.Close(); err != nil {
			t.Fatal(err)
		}
		report := readAll(t, store)
		if len(report.Entries) != 2 || len(report.Gaps) != 0 {
			t.Fatalf("got %+v", report)
		}
		entry := report.Entries[0]
		if entry.Count != 5 || !entry.Time.Equal(first) || !entry.Until.Equal(first.Add(4*time.Second)) || entry.DataCentre != "sapporo" {
			t.Errorf("got %+v", entry)
		}
		if report.Entries[1].Count != 3 || report.Entries[1].Run != reporter.MayHaveRun {
			t.Errorf("got %+v", report.Entries[1])
		}
	})
}

func TestLongOutageIsOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder, store := newRecorderWithoutPeers(t, reporter.Settings{}, faultPlan{})
		start := time.Now()
		for range 300 {
			recorder.ObserveOutage("demo-model", "no_target")
			time.Sleep(time.Second)
		}
		recorder.EndOutage("demo-model", "no_target")
		recorder.ObserveOutage("demo-model", "no_target")
		recorder.EndOutage("other", "no_target")
		if err := recorder.Close(); err != nil {
			t.Fatal(err)
		}
		report := readAll(t, store)
		if len(report.Entries) != 2 {
			t.Fatalf("got %+v, want two outages", report.Entries)
		}
		ended, open := report.Entries[0], report.Entries[1]
		if !ended.Time.Equal(start) || !ended.Until.Equal(start.Add(300*time.Second)) || ended.Open || ended.Count != 1 {
			t.Errorf("got %+v, want an outage that has ended", ended)
		}
		if !open.Open {
			t.Errorf("got %+v, want an open outage", open)
		}
	})
}

func TestBoundedMemoryPreservesCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := reporter.Settings{MaxEntries: 10, MaxPendingEntries: 25, MaxPendingBatches: 5}
		recorder, store := newRecorderWithoutPeers(t, settings, faultPlan{outages: []span{{to: time.Hour}}})
		want := 0
		for minute := range 30 {
			for i := range 40 {
				recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Account: fmt.Sprint(minute, "/", i), Code: "full", Run: reporter.NotRun})
				want++
			}
			time.Sleep(time.Minute)
		}
		entries := 0
		for _, batch := range recorder.Pending() {
			entries += len(batch.Entries)
		}
		if pending := len(recorder.Pending()); pending > 6 || entries > 45 {
			t.Errorf("%d batches with %d entries are pending", pending, entries)
		}
		time.Sleep(time.Hour)
		if err := recorder.Close(); err != nil {
			t.Fatal(err)
		}
		got, overflowEntries := 0, 0
		for _, entry := range readAll(t, store).Entries {
			got += entry.Count
			if entry.Code == reporter.CodeOverflow {
				overflowEntries++
			}
		}
		if got != want || overflowEntries == 0 {
			t.Errorf("got %d refusals in the report with %d entries of CodeOverflow, want %d", got, overflowEntries, want)
		}
	})
}

func TestMissingBatchIsReportedAsGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder, store := newRecorderWithoutPeers(t, reporter.Settings{}, faultPlan{})
		for range 3 {
			time.Sleep(2 * time.Minute)
			recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Code: "full"})
		}
		time.Sleep(2 * time.Minute)
		if err := recorder.Close(); err != nil {
			t.Fatal(err)
		}
		page, _ := store.List(context.Background(), "record/", "", 3)
		missing := page.Items[2].Key
		delete(store.items, missing)
		report := readAll(t, store)
		if len(report.Gaps) != 1 || report.Gaps[0].Batches != 1 || report.Gaps[0].To.IsZero() || len(report.Entries) != 2 {
			t.Fatalf("without %s: got %+v", missing, report)
		}
	})
}

func TestIdleDaemonHasNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder, store := newRecorderWithoutPeers(t, reporter.Settings{}, faultPlan{})
		time.Sleep(5 * time.Hour)
		report, err := reporter.NewReader(store).Read(context.Background(), time.Now().Add(-5*time.Hour), time.Now())
		if err != nil || len(report.Gaps) != 0 || len(report.Entries) != 0 {
			t.Errorf("got %+v and %v", report, err)
		}
		if err := recorder.Close(); err != nil {
			t.Fatal(err)
		}
		// One batch at the start, one per quiet interval and the final one.
		if batches := len(store.items); batches < 20 || batches > 33 {
			t.Errorf("%d batches in five quiet hours", batches)
		}
	})
}

func TestCloseReportsUnwrittenBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder, _ := newRecorderWithoutPeers(t, reporter.Settings{}, faultPlan{outages: []span{{to: time.Hour}}})
		err := recorder.Close()
		var unwritten *reporter.UnwrittenError
		if !errors.As(err, &unwritten) || unwritten.Batches != 2 {
			t.Fatalf("got %v, want two unwritten batches", err)
		}
		if err := recorder.Close(); err != nil {
			t.Fatalf("second close: %v", err)
		}
	})
}

func TestHolderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := client{fakePlatform: newFakePlatform(faultPlan{}, time.Now())}
		holder := reporter.NewHolder(reporter.HolderSettings{MaxBytes: 100}, store, fakeLiveness{start: time.Now()})
		defer func() { _ = holder.Close() }()
		if err := holder.Keep(reporter.Copy{Key: "record/a", Version: 1, Data: make([]byte, 80)}); err != nil {
			t.Fatal(err)
		}
		var full *reporter.FullError
		if err := holder.Keep(reporter.Copy{Key: "record/b", Version: 1, Data: make([]byte, 80)}); !errors.As(err, &full) {
			t.Fatalf("got %v, want a FullError", err)
		}
		holder.Drop("record/a")
		if err := holder.Keep(reporter.Copy{Key: "record/b", Version: 1, Data: make([]byte, 80)}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestOlderCopyDoesNotReplaceStoredBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store := client{fakePlatform: newFakePlatform(faultPlan{}, start)}
		holder := reporter.NewHolder(reporter.HolderSettings{}, store, fakeLiveness{start: start})
		peers := &fakePeers{
			client: store, partitions: []span{{from: 5 * time.Second, to: time.Hour}},
			holders: []*reporter.Holder{holder}, holderCrashAt: []time.Duration{0},
		}
		recorder, err := reporter.NewRecorder(reporter.Settings{Daemon: "d", DataCentre: "sapporo"}, store, peers)
		if err != nil {
			t.Fatal(err)
		}
		recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Code: "full"})
		time.Sleep(10 * time.Second)
		recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Code: "full"})
		time.Sleep(10 * time.Minute)
		if err := errors.Join(recorder.Close(), holder.Close()); err != nil {
			t.Fatal(err)
		}
		report := readAll(t, store)
		if holder.Held() != 0 || len(report.Entries) != 1 || report.Entries[0].Count != 2 {
			t.Fatalf("%d copies are held, got %+v", holder.Held(), report)
		}
	})
}
