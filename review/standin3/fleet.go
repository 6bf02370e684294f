package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemonZones are the zones of the daemons of a fleet.
var daemonZones = []string{"north", "south", "east"}

// daemon is one process of rilld front.
type daemon struct {
	name, zone, callers, ready, peers, path string
	process                                 *exec.Cmd
}

// fleet is a store, and daemons that are started with the command of the deploy file.
type fleet struct {
	folder  string
	program string
	store   *leaseStore
	daemons []*daemon
	begun   time.Time

	mu     sync.Mutex
	record *os.File
}

func newFleet(folder, program string, record *os.File) (*fleet, error) {
	store, err := newLeaseStore()
	return &fleet{folder: folder, program: program, store: store, begun: time.Now(), record: record}, err
}

// note writes a line of the record.
func (f *fleet) note(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%7.3f  %s\n", time.Since(f.begun).Seconds(), fmt.Sprintf(format, values...))
}

const (
	// firstPort and ports are where free ports are looked for: below those that the kernel gives to outgoing channels.
	firstPort = 18000
	ports     = 12000
)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (address string, err error) {
	for range 50 {
		address = fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, packetErr := net.ListenPacket("udp", address)
		_ = listener.Close()
		if packetErr == nil {
			_ = packets.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// addDaemon prepares and starts one more daemon.
func (f *fleet) addDaemon() error {
	i := len(f.daemons)
	zone := daemonZones[i%len(daemonZones)]
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone}
	f.daemons = append(f.daemons, d)
	var metrics, operators string
	for _, target := range []*string{&d.callers, &d.ready, &d.peers, &metrics, &operators} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*target = address
	}
	settings := fmt.Sprintf(`{
  "name": %q, "data_centre": %q, "callers_listen": %q, "peers_listen": %q, "operators_listen": %q, "platform": [%q],
  "log": {"level": "info", "format": "json"},
  "hosted": {
    "ready_listen": %q, "metrics_listen": %q, "memory_bytes": 134e6, "link_megabits": 1000, "stop_bound": "8s",
    "key_revocation": "5000ms", "weights_spread": "10000ms", "target_heartbeat": "1200ms", "lease_time": "3000ms",
    "retry_ratio": 0.2, "retry_burst": 58,
  },
}`, d.name, d.zone, d.callers, d.peers, operators, f.store.address, d.ready, metrics)
	d.path = filepath.Join(f.folder, d.name+".jsonc")
	if err := os.WriteFile(d.path, []byte(settings), 0o600); err != nil {
		return err
	}
	return f.start(d)
}

// start starts the process of a daemon, whose log goes to its file.
func (f *fleet) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(f.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.process = exec.Command(f.program, "front", "--config", d.path)
	d.process.Stdout, d.process.Stderr = log, log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = d.process.Start()
	_ = log.Close() // The process has its own descriptor.
	if err == nil {
		f.note("%s started", d.name)
	}
	return err
}

// kill ends the process of a daemon with SIGKILL.
func (f *fleet) kill(d *daemon) {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill()
	_ = d.process.Wait()
	d.process = nil
	f.note("%s killed with SIGKILL", d.name)
}

// awaitReady waits until all daemons say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range f.daemons {
			response, err := client.Get("http://" + d.ready + "/readyz")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.daemons) {
			f.note("all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("the daemons were not ready in %s", limit)
}

// end ends all processes.
func (f *fleet) end() {
	for _, d := range f.daemons {
		f.kill(d)
	}
	_ = f.store.server.Close()
}
