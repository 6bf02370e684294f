package runner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/listener"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/runner"
)

func startPlatform(t *testing.T) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(platformemulator.New(platformemulator.Settings{}).Handler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// callUntilClosed sends requests on one connection until an answer announces its end. It reports whether a request that
// was sent got no answer.
func callUntilClosed(address netip.AddrPort) (lost bool) {
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return true
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return true
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return true
		}
		if response.Close {
			return false
		}
	}
}

// Guards against requests without an answer on the ports for operators and peers (LOST): they arrive on kept connections
// without a pause while the daemon stops.
func TestShutdownAnswersOperatorsAndPeers(t *testing.T) {
	const callers = 50
	settings := loopbackSettings(t, "one", startPlatform(t), nil)
	settings.LeaveNotice = 300 * time.Millisecond
	daemon := startDaemon(t, settings)
	for name, address := range map[string]netip.AddrPort{"operators": daemon.OperatorsAddress(), "peers": daemon.PeersAddress()} {
		var lost atomic.Int64
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				if callUntilClosed(address) {
					lost.Add(1)
				}
			})
		}
		t.Cleanup(func() {
			group.Wait()
			if n := lost.Load(); n > 0 {
				t.Errorf("port for %s: %d of %d callers got no answer", name, n, callers)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	if err := daemon.Shutdown(); err != nil {
		t.Error(err)
	}
}

// reserveAddress returns an address on which nothing listens.
func reserveAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := listener.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// countConnections connects to the address until ctx ends and returns how often that succeeded.
func countConnections(ctx context.Context, address netip.AddrPort) (connected int) {
	for ctx.Err() == nil {
		if conn, err := net.Dial("tcp", address.String()); err == nil {
			connected++
			_ = conn.Close()
		}
	}
	return connected
}

// Guards against connections that are accepted by a daemon whose start fails, and reset with it (LOST).
func TestFailedStartAcceptsNoCallers(t *testing.T) {
	settings := loopbackSettings(t, "one", netip.MustParseAddrPort("127.0.0.1:1"), nil)
	settings.CallersListen, settings.OperatorsListen = reserveAddress(t), reserveAddress(t)
	missing := filepath.Join(t.TempDir(), "missing.pem")
	settings.TLS = loader.TLS{PeersCertificateFile: missing, PeersKeyFile: missing, AuthorityFile: missing}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for name, address := range map[string]netip.AddrPort{"callers": settings.CallersListen, "operators": settings.OperatorsListen} {
		group.Go(func() {
			if n := countConnections(ctx, address); n > 0 {
				t.Errorf("the port for %s accepted %d connections", name, n)
			}
		})
	}
	for range 50 {
		if _, err := runner.New(t.Context(), settings); err == nil {
			t.Error("the daemon started without its certificate")
		}
	}
	cancel()
	group.Wait()
}
