package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

// world is a small deployment on loopback: the platform's store, daemons as processes, replicas and the links between them.
type world struct {
	store  *hostingemulator.Store
	folder string
	began  time.Time

	mu       sync.Mutex
	record   *os.File
	daemons  []*daemon
	replicas []*replica
	links    []*link
	views    []*view
}

func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{store: hostingemulator.NewStore(), folder: temporary, began: time.Now(), record: record}
	return w, w.store.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
}

// note writes a line with the time since the start into the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all that was started.
func (w *world) close() error {
	var errs []error
	for _, d := range w.daemons {
		d.kill()
	}
	for _, r := range w.replicas {
		r.close()
	}
	for _, v := range w.views {
		errs = append(errs, v.server.Close())
	}
	for _, l := range w.links {
		l.cut()
		l.closeDatagrams()
	}
	return errors.Join(append(errs, w.store.Close(), w.record.Close(), os.RemoveAll(w.folder))...)
}

const (
	// firstPort and lastPort are below the ports that the system gives to outgoing connections, so that none of these takes a port
	// between its choice and its use.
	firstPort = 10_000
	lastPort  = 30_000
)

var (
	givenPorts   = make(map[int]bool)
	givenPortsMu sync.Mutex
)

// freeAddress returns a loopback address whose port is free for TCP and UDP, and was not returned before.
func freeAddress() (netip.AddrPort, error) {
	givenPortsMu.Lock()
	defer givenPortsMu.Unlock()
	for range 200 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		if givenPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		_ = socket.Close()
		givenPorts[port] = true
		return address, nil
	}
	return netip.AddrPort{}, errors.New("no free port")
}

// daemon is a process of the project, started with the command of the deploy file.
type daemon struct {
	world   *world
	name    string
	zone    string
	callers netip.AddrPort
	ready   netip.AddrPort
	peers   netip.AddrPort
	config  string
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
	// toStore is the link to the store.
	toStore *link
}

// addDaemon starts a daemon with a view of the store of its own.
func (w *world) addDaemon(name, zone string, memoryMB int) (d *daemon, err error) {
	d = &daemon{world: w, name: name, zone: zone}
	var metrics, operators netip.AddrPort
	for _, address := range []*netip.AddrPort{&d.callers, &d.ready, &d.peers, &metrics, &operators} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	store, err := w.addView(d)
	if err != nil {
		return nil, err
	}
	if d.toStore, err = newLink(store, false); err != nil {
		return nil, err
	}
	w.links = append(w.links, d.toStore)
	d.config = filepath.Join(w.folder, name+".jsonc")
	// What deploy/settings.jsonc.tmpl renders to for a small deployment.
	settings := fmt.Sprintf(`{
  "name": %q, "data_centre": %q, "callers_listen": %q, "peers_listen": %q, "operators_listen": %q,
  "platform": [%q],
  "log": {"level": "info", "format": "json"},
  "hosted": {
    "ready_listen": %q, "metrics_listen": %q, "memory_bytes": %de6, "link_megabits": 1000.0, "stop_bound": "8s",
    "key_revocation": "5000ms", "weights_spread": "10000ms", "target_heartbeat": "1200ms", "lease_time": "3000ms",
    "retry_ratio": 0.2, "retry_burst": 58,
  },
}
`, name, zone, d.callers, d.peers, operators, d.toStore.local, d.ready, metrics, memoryMB)
	if err := os.WriteFile(d.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(w.folder, name+".log")); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, d.start()
}

func (d *daemon) start() error {
	d.command = exec.Command("target/rilld", "front", "--config", d.config)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.world.note("daemon %s started in zone %s", d.name, d.zone)
	ended, command := make(chan struct{}), d.command
	d.ended = ended
	go func() {
		_ = command.Wait() // How it ended does not matter.
		close(ended)
	}()
	return nil
}

// kill ends the process at once, if it runs.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Kill() // It may have ended.
	<-d.ended
}

func (d *daemon) signal(signal syscall.Signal) error { return d.command.Process.Signal(signal) }

// running reports whether the process runs.
func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready.String() + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready", d.name)
}
