package detector_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// targetCounts are the numbers of targets in a data centre that the benchmarks use.
var targetCounts = []int{18, 48, 480}

func newObservedDetector(b *testing.B, size int) (*detector.Detector, []string) {
	b.Helper()
	d := detector.New(detector.Settings{})
	b.Cleanup(func() { _ = d.Close() })
	var targets []detector.Target
	var names []string
	for i := range size {
		names = append(names, fmt.Sprintf("engine-%03d", i))
		targets = append(targets, detector.Target{Name: names[i]})
	}
	d.SetTargets(targets)
	for _, name := range names {
		d.ObserveReport(name, report("i1", 1), time.Now(), false)
	}
	return d, names
}

// BenchmarkUpdateStatus updates the status of all targets once, as each tick does.
func BenchmarkUpdateStatus(b *testing.B) {
	for _, size := range targetCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			d, names := newObservedDetector(b, size)
			b.ReportAllocs()
			for b.Loop() {
				for _, name := range names {
					d.Status(name)
				}
			}
		})
	}
}

func BenchmarkExport(b *testing.B) {
	for _, size := range targetCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			d, _ := newObservedDetector(b, size)
			b.ReportAllocs()
			for b.Loop() {
				d.Export()
			}
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, size := range targetCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			from, _ := newObservedDetector(b, size)
			to, _ := newObservedDetector(b, size)
			observations := from.Export()
			b.ReportAllocs()
			for b.Loop() {
				to.Merge(observations)
			}
		})
	}
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (conn net.Conn, err error) {
	conn, err = l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll polls an engine over a persistent connection and reports the bytes above TCP.
func BenchmarkPoll(b *testing.B) {
	engine := engineemulator.New(engineemulator.Settings{Weights: []string{"w1"}})
	b.Cleanup(func() { _ = engine.Close() })
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.Handler(engine))
	server.Listener = countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	b.Cleanup(server.Close)
	client := forwarder.New(forwarder.Settings{})
	b.Cleanup(func() { _ = client.Close() })
	target := detector.Target{Name: "t", Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}
	poller := detector.NewPoller(client)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := poller.Poll(context.Background(), target, false); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/poll")
}
