package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// The bounds of both sites' pages (SYSTEM.md).
	contact       = 3 * time.Second
	drainBound    = 2 * time.Second
	leaseBound    = 3 * time.Second
	graceBound    = 8 * time.Second
	heartbeat     = 1200 * time.Millisecond
	readyTimeout  = 20 * time.Second
	hostName      = "jepu9.example"
	clientKey     = "key-one"
	clientAccount = "sese880"
	otherKey      = "key-two"
	otherAccount  = "lehu480"
	modelName     = "daka510000"
	daemonBinary  = "target/rilld"
)

// world is one small deployment on loopback.
type world struct {
	record
	folder  string
	trouble bool
	store   *hostingemulator.Store
	version int
	// isolated is what the configuration says of clientAccount.
	isolated bool

	mu       sync.Mutex
	daemons  []*daemon
	replicas []*replica
	closed   bool
	ids      atomic.Uint64
	host     atomic.Uint32
	walls    atomic.Uint32
	walled   atomic.Bool

	lateUntil time.Time
	lateCount int
}

func newWorld(path string) (*world, error) {
	if _, err := os.Stat(daemonBinary); err != nil {
		return nil, err
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: record{file: file, start: time.Now()}, folder: folder, trouble: os.Getenv("TROUBLE") != "0", store: hostingemulator.NewStore()}
	if err := w.store.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		return nil, err
	}
	w.note("case begins", "trouble", w.trouble)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	daemons, replicas := w.daemons, w.replicas
	w.mu.Unlock()
	for _, d := range daemons {
		d.end()
	}
	for _, r := range replicas {
		r.close()
	}
	w.keepLogs()
	_ = w.store.Close()
	_ = os.RemoveAll(w.folder)
}

// nextHost returns a loopback address that no other machine of this deployment has.
func (w *world) nextHost() netip.Addr {
	n := w.host.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(11 + os.Getpid()%200), byte(n >> 8), byte(n)})
}

// freePorts returns addresses with different free ports at a loopback address.
func freePorts(host netip.Addr, count int) (addresses []netip.AddrPort, err error) {
	for range count {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // All are held until the last one is chosen.
		addresses = append(addresses, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addresses, nil
}

// configure writes the next configuration, as the operator does.
func (w *world) configure(anonymous bool) {
	w.version += 3
	route := func(name, kind, service string, timeout int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": timeout,
			"targetLatencyMs": 800, "targetGapMs": 500, "maxAttempts": 2, "priority": 0, "sticky": service == "engines", "resumable": resumable, "anonymous": anonymous,
		}
	}
	w.store.Put("op/config", map[string]any{
		"version": w.version,
		"routes":  []any{route("ask", "streaming", "engines", 4000, false), route("order", "non_idempotent", "orders", 600, false)},
		"services": []any{
			map[string]any{"name": "engines", "maxConnections": 360, "engine": map[string]any{"slots": 64, "kvCapacity": 178858, "kvTokenBytes": 18432, "linkMbps": 180000, "models": []any{map[string]any{"name": modelName}}}},
			map[string]any{"name": "orders", "maxConnections": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": clientAccount, "apiKeys": []string{clientKey}, "isolated": w.isolated},
			map[string]any{"name": otherAccount, "apiKeys": []string{otherKey}},
		},
	})
	w.note("configuration acknowledged", "version", w.version)
}

// nameWeights names new weights, as the operator does.
func (w *world) nameWeights(version int64) {
	for _, r := range w.replicas {
		r.allow(version)
	}
	w.store.Put("op/version/"+modelName, map[string]any{"model": modelName, "version": version})
	w.note("weights named", "version", version)
}

// daemon is a process of the project.
type daemon struct {
	w        *world
	name     string
	front    netip.AddrPort
	ready    netip.AddrPort
	platform netip.AddrPort
	command  *exec.Cmd
	log      *logBuffer
	done     chan struct{}
}

// logBuffer keeps what a process writes.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startDaemon starts a daemon with the command of the deploy file and the settings that its template gives. platform is the
// address at which the daemon reaches the store.
func (w *world) startDaemon(name, zone string, megabits int, platform netip.AddrPort) (d *daemon, err error) {
	host := w.nextHost()
	d = &daemon{w: w, name: name, platform: platform, log: &logBuffer{}, done: make(chan struct{})}
	addresses, err := freePorts(host, 5)
	if err != nil {
		return nil, err
	}
	d.front, d.ready = addresses[0], addresses[1]
	settings := map[string]any{
		"name": name, "data_centre": zone, "callers_listen": d.front.String(), "peers_listen": addresses[2].String(),
		"operators_listen": addresses[3].String(), "platform": []string{platform.String()}, "log": map[string]any{"level": "info", "format": "json"},
		"hosted": map[string]any{
			"ready_listen": d.ready.String(), "metrics_listen": addresses[4].String(), "memory_bytes": 284e6, "link_megabits": megabits,
			"stop_bound": "8s", "key_revocation": "5000ms", "weights_spread": "10000ms", "lease_time": "3000ms", "retry_ratio": 0.2, "retry_burst": 54,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.folder, name+".jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	d.command = exec.Command(daemonBinary, "front", "--config", file)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = d.command.Wait() // How it ended is in the record only if the case depends on it.
		close(d.done)
	}()
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	w.note("daemon started", "daemon", name, "front", d.front.String(), "zone", zone)
	return d, nil
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, d := range w.daemons {
		for deadline := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
			response, err := client.Get("http://" + d.ready.String() + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready: %s", d.name, lastLines(d.log.String(), 5))
			}
		}
	}
	w.note("daemons ready")
	return nil
}

func lastLines(text string, count int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(len(lines)-count, 0):], "\n")
}

func (d *daemon) signal(s syscall.Signal) {
	d.w.note("signal", "daemon", d.name, "signal", s.String())
	_ = d.command.Process.Signal(s)
}

// end kills the process if it still runs.
func (d *daemon) end() {
	select {
	case <-d.done:
		return
	default:
	}
	_ = d.command.Process.Kill()
	<-d.done
}

var errNotReached = errors.New("the disruption could not be brought about")

// lateOrders makes every second order stay unanswered until the given time.
func (w *world) lateOrders(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateUntil = until
}

// isLate reports whether an order that arrives now stays unanswered.
func (w *world) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !time.Now().Before(w.lateUntil) {
		return false
	}
	w.lateCount++
	return w.lateCount%2 == 1
}

// isWalled reports whether one of the tenants is isolated for longer than configApplyMs.
func (w *world) isWalled() bool { return w.walled.Load() }
