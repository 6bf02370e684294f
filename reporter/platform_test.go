package reporter_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/reporter"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// TestRecordOverHTTP writes and reads the record through the platform's HTTP client, with names
// that need escaping and several data centres.
func TestRecordOverHTTP(t *testing.T) {
	server := httptest.NewServer(platformemulator.New(platformemulator.Settings{}).Handler())
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	store, err := storer.NewClient(storer.Settings{Addresses: []netip.AddrPort{address}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	dataCentres := []string{"Jaboatão", "Jaboatão-2", "Olinda", "a"}
	for i, dataCentre := range dataCentres {
		settings := reporter.Settings{Daemon: fmt.Sprint("d", i), DataCentre: dataCentre}
		recorder, err := reporter.NewRecorder(settings, store, &fakePeers{client: client{fakePlatform: newFakePlatform(faultPlan{}, time.Now())}})
		if err != nil {
			t.Fatal(err)
		}
		recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Account: "Companhia", Code: "full", Run: reporter.NotRun})
		if err := recorder.Close(); err != nil {
			t.Fatal(err)
		}
	}
	reader := reporter.NewReader(store)
	report, err := reader.Read(context.Background(), time.Now().Add(-time.Hour), time.Now().Add(time.Minute))
	if err != nil || len(report.Entries) != len(dataCentres) || len(report.Gaps) != 0 {
		t.Fatalf("got %+v and %v", report, err)
	}
	server.Close()
	var unavailable *storer.UnavailableError
	if _, err := reader.Read(context.Background(), report.From, report.To); !errors.As(err, &unavailable) {
		t.Fatalf("got %v from a platform that is down", err)
	}
}

func BenchmarkRecord(b *testing.B) {
	for _, accounts := range []int{8, 800, 18000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			store := client{fakePlatform: newFakePlatform(faultPlan{}, time.Now())}
			recorder, err := reporter.NewRecorder(reporter.Settings{Daemon: "d", DataCentre: "a"}, store, &fakePeers{client: store})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = recorder.Close() }()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Account: fmt.Sprint("account-", i%accounts), Code: "full", Run: reporter.NotRun})
			}
		})
	}
}
