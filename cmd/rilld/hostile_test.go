package main_test

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// hostileMemory is the memory of the smallest host in bytes.
	hostileMemory = 112e6
	// hostileBody is the largest legal body of rilld front in the tests.
	hostileBody = 4_194_304
	// hostileDescriptors is the descriptor limit of the daemon's process, unless a test sets another, and spareDescriptors have to stay free.
	hostileDescriptors = 512
	spareDescriptors   = 32
	// hostileTime bounds what one hostile client does before it only holds its connection.
	hostileTime = 6 * time.Second
	// settleTime is left to the daemon to take what the crowd has sent.
	settleTime = 500 * time.Millisecond
	// ordinaryTries and ordinaryPause bound how often the ordinary caller comes back after a refusal.
	ordinaryTries = 40
	ordinaryPause = 250 * time.Millisecond
	// restTries bounds how long a daemon may take to come back to rest, and restDescriptors what it has open then.
	restTries       = 160
	restDescriptors = 64
)

// hostile is one daemon as a process, its ports, and one ordinary request to it.
type hostile struct {
	*processes
	// ports are the addresses by the names that hostileCase uses: callers, peers, operators, ready, metrics.
	ports map[string]string
	// newRequest returns an ordinary request with a body of a number of bytes.
	newRequest func(bodyBytes int) *http.Request
	// largestBody is the size of the largest legal body.
	largestBody int
	memoryBytes float64
	// descriptors is the descriptor limit of the daemon's process.
	descriptors int
	// client sends the ordinary requests.
	client *http.Client
	// metrics is the URL of the daemon's metrics.
	metrics string
	// limitBodies changes the platform's limit on bodies, for rilld front.
	limitBodies func(bytes int)
	// startDaemon starts the daemon and waits until it is ready.
	startDaemon func()
}

// hostileClient is one client: it does what it does with its connection, which the crowd closes at the end.
type hostileClient func(conn net.Conn, h *hostile)

// hostileCase is a crowd of equal clients.
type hostileCase struct {
	name    string
	port    string
	clients int
	play    hostileClient
}

// Guards against clients which nobody controls and whose bodies, heads, connections or unread answers end a process of rilld front, fill its memory or
// use up its descriptors, so that no ordinary request is served any more.
func TestHostileClientsOfFront(t *testing.T) {
	checkCases(t, frontHostileCases, startHostileFront)
}

// Guards against clients of rilld front whose requests are refused by their heads, and whose bodies, which nobody reads, hold all connections.
func TestHeadsBeyondLimitHoldNoConnections(t *testing.T) {
	const beyondLimit = 20 << 10
	head := lookAt + "X-Long: " + strings.Repeat("h", beyondLimit) + "\r\n"
	checkCases(t, []hostileCase{{"small bodies one byte short", "callers", 2 * hostileDescriptors, sendBody(head, 1<<10, 1, 0)}}, startHostileFront)
}

// Guards against the same for rilld serve.
func TestHostileClientsOfServe(t *testing.T) {
	checkCases(t, serveHostileCases, startHostileServe)
}

// checkCases plays each crowd against a daemon of its own.
func checkCases(t *testing.T, cases []hostileCase, start func(t *testing.T, folder string) *hostile) {
	folder := newProcesses(t).folder
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { start(t, folder).check(c) })
	}
}

// startLimited starts a daemon with a descriptor limit below the test's own, which only a shell can set. It becomes the daemon.
func (h *hostile) startLimited(arguments ...string) {
	h.t.Helper()
	script := fmt.Sprintf("ulimit -n %d && exec %s \"$@\"", h.descriptors, filepath.Join(h.folder, "rilld"))
	if err := os.Symlink("/bin/sh", filepath.Join(h.folder, "sh")); err != nil && !os.IsExist(err) {
		h.t.Fatal(err)
	}
	h.start("daemon", "sh", append([]string{"-c", script, "rilld"}, arguments...)...)
}

func newHostile(t *testing.T, folder string) *hostile {
	h := &hostile{processes: &processes{t: t, folder: folder, running: make(map[string]*process)}, ports: make(map[string]string), descriptors: hostileDescriptors}
	h.client = &http.Client{Timeout: hostileTime, Transport: &http.Transport{DisableKeepAlives: true}}
	t.Cleanup(h.close)
	for _, port := range []string{"callers", "peers", "operators", "ready", "metrics"} {
		h.ports[port] = freeAddress(t)
	}
	return h
}

// startHostileFront starts rilld front with the memory of the smallest host.
func startHostileFront(t *testing.T, folder string) *hostile {
	return startFront(t, folder, hostileDescriptors)
}

// startFront starts the same with a descriptor limit.
func startFront(t *testing.T, folder string, descriptors int) *hostile {
	h := newHostile(t, folder)
	h.largestBody, h.memoryBytes, h.descriptors = hostileBody, hostileMemory, descriptors
	h.metrics = "http://" + h.ports["metrics"] + "/metrics"
	store := hostingemulator.NewStore()
	if err := store.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	configuration := frontConfiguration
	h.limitBodies = func(bytes int) {
		configuration.Version++
		configuration.MaxBodyBytes = bytes
		store.PutConfiguration(configuration)
	}
	h.limitBodies(hostileBody)
	for i, service := range []string{"engines", "services"} {
		target := hostingemulator.NewTarget(hostingemulator.TargetSettings{
			ID: fmt.Sprint("target-", i), Service: service, Zone: "north", Store: store, Model: []string{"m", ""}[i], Slots: 100,
			StreamEvents: 100, EventInterval: 20 * time.Millisecond,
		})
		if err := target.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = target.Close() })
	}
	h.newRequest = func(bodyBytes int) *http.Request {
		request, err := frontConfiguration.NewRequest(h.ports["callers"], frontConfiguration.Routes[1], fmt.Sprint("o", ordinaryCount.Add(1)))
		if err != nil {
			t.Fatal(err)
		}
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", bodyBytes))), int64(bodyBytes)
		return request
	}
	file := h.write("hostile-front.jsonc", fmt.Sprintf(`{
  "name": "front", "data_centre": "north", "callers_listen": %q, "peers_listen": %q, "operators_listen": %q, "platform": [%q],
  "log": {"level": "warn", "format": "json"},
  "hosted": {"ready_listen": %q, "metrics_listen": %q, "memory_bytes": %d},
}`, h.ports["callers"], h.ports["peers"], h.ports["operators"], store.Address(), h.ports["ready"], h.ports["metrics"], int64(hostileMemory)))
	h.startDaemon = func() {
		h.startLimited("front", "--config", file)
		h.await("http://" + h.ports["ready"] + "/readyz")
	}
	h.startDaemon()
	return h
}

var ordinaryCount atomic.Int64

// crowd is a crowd that is at work or holds its connections.
type crowd struct {
	playing, holding conc.WaitGroup
	left             chan struct{}
}

// startCrowd starts the clients of a crowd.
func (h *hostile) startCrowd(c hostileCase) *crowd {
	w := &crowd{left: make(chan struct{})}
	for range c.clients {
		played := make(chan struct{})
		w.holding.Go(func() {
			finish := sync.OnceFunc(func() { close(played) })
			defer finish()
			conn := dialWhenOpen(h.ports[c.port])
			if conn == nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(hostileTime)) // Fails only on a closed connection.
			c.play(conn, h)
			finish()
			<-w.left
		})
		w.playing.Go(func() { <-played })
	}
	return w
}

// dialWhenOpen connects to a port, which a daemon that starts may open only later. It returns nil if that takes too long.
func dialWhenOpen(address string) net.Conn {
	for end := time.Now().Add(hostileTime); time.Now().Before(end); time.Sleep(piecePause) {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn
		}
	}
	return nil
}

// leave ends the connections of the crowd.
func (w *crowd) leave() {
	close(w.left)
	w.holding.Wait()
}

// check plays a crowd and checks the process during it, and an ordinary caller while the crowd still holds its connections.
func (h *hostile) check(c hostileCase) {
	watch := watchProcess(h.running["daemon"].command.Process.Pid, h.ports[c.port])
	crowd := h.startCrowd(c)
	crowd.playing.Wait()
	time.Sleep(settleTime)
	h.expectAnswer(0)
	h.expectAnswer(h.largestBody)
	crowd.leave()
	h.expectRest()
	h.checkPeak(c.name, watch.end())
	select {
	case <-h.running["daemon"].done:
		h.t.Errorf("the process ended: %s", h.running["daemon"].state)
	default:
	}
}

// checkPeak checks what a process has used.
func (h *hostile) checkPeak(name string, peak peak) {
	h.t.Logf("%s: most memory %.0f MB (%.0f MB resident, with the queues of the kernel at most %.0f MB), most descriptors %d", name,
		peak.bytes()/1e6, peak.resident/1e6, peak.withQueues/1e6, peak.descriptors)
	if peak.bytes() > h.memoryBytes {
		h.t.Errorf("%.0f MB in use, the host has %.0f MB", peak.bytes()/1e6, h.memoryBytes/1e6)
	}
	if peak.descriptors > h.descriptors-spareDescriptors {
		h.t.Errorf("%d descriptors in use, the host has %d", peak.descriptors, h.descriptors)
	}
}

// expectAnswer sends an ordinary request until it is answered. Refusals are allowed, as to callers that come back.
func (h *hostile) expectAnswer(bodyBytes int) {
	var last string
	for range ordinaryTries {
		response, err := h.client.Do(h.newRequest(bodyBytes))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if last = response.Status; err == nil && response.StatusCode == http.StatusOK {
				return
			}
		}
		last = fmt.Sprint(last, " ", err)
		time.Sleep(ordinaryPause)
	}
	h.t.Errorf("no answer to an ordinary request with a body of %d bytes: %s", bodyBytes, last)
}

// expectRest waits until the requests of a crowd that has left hold no memory of the daemon, and their connections no descriptors.
func (h *hostile) expectRest() {
	var held float64
	var open int
	for range restTries {
		held = h.metric("rill_request_memory_bytes")
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.running["daemon"].command.Process.Pid)) // None of a process that has ended.
		if open = len(entries); held == 0 && open <= restDescriptors {
			return
		}
		time.Sleep(ordinaryPause)
	}
	h.t.Errorf("after the crowd has left, %.0f bytes are held for requests and %d descriptors are in use", held, open)
}

// metric returns a figure of the daemon, or -1 if it tells none.
func (h *hostile) metric(name string) float64 {
	response, err := h.client.Get(h.metrics)
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && strings.HasPrefix(fields[0], name) {
			value, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			return value
		}
	}
	return -1
}

// peak is the most that a process has used.
type peak struct {
	// resident is the highest resident memory, and withQueues the highest sum of that and what the kernel held for its connections.
	resident, withQueues float64
	descriptors          int
}

func (p peak) bytes() float64 { return math.Max(p.resident, p.withQueues) }

type processWatch struct {
	stop chan struct{}
	done chan peak
}

func (w processWatch) end() peak {
	close(w.stop)
	return <-w.done
}

// watchProcess samples what a process uses.
func watchProcess(pid int, address string) processWatch {
	w := processWatch{stop: make(chan struct{}), done: make(chan peak)}
	go func() {
		var most peak
		for {
			most.resident = math.Max(most.resident, statusBytes(pid, "VmHWM:"))
			most.withQueues = math.Max(most.withQueues, statusBytes(pid, "VmRSS:")+queuedBytes(address))
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // None of a process that has ended.
			most.descriptors = max(most.descriptors, len(open))
			select {
			case <-w.stop:
				w.done <- most
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return w
}

// statusBytes returns a figure of a process in bytes, or zero if it has ended.
func statusBytes(pid int, field string) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, field); found {
			kibibytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kibibytes * 1024
		}
	}
	return 0
}

// queuedBytes returns what the kernel holds for a listening address: what has arrived and was not read yet, and what was written and not
// taken by the other side.
func queuedBytes(address string) (sum float64) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	suffix := fmt.Sprintf(":%04X", netip.MustParseAddrPort(address).Port())
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const listening = "0A"
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listening {
			continue
		}
		for queue := range strings.SplitSeq(fields[4], ":") {
			if queued, err := strconv.ParseUint(queue, 16, 64); err == nil {
				sum += float64(queued)
			}
		}
	}
	return sum
}
