package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryBytes is the memory of a machine of cmr-rodas, in the larger of the two readings of 134 MB, and legalBody the largest body that the configuration allows.
	memoryBytes = 134 << 20
	legalBody   = 4194304
	// crowdSize is the number of clients that press at once, and waves how often each of the machines is pressed.
	crowdSize = 1200
	waves     = 3
	waveTime  = 10 * time.Second
	// endsThatCount is how often processes of a machine have to end, and machinesThatCount on how many machines.
	endsThatCount     = 3
	machinesThatCount = 2
	sampleInterval    = 50 * time.Millisecond
)

var hostileConfiguration = configuration{
	Version: 7, Host: "app.example", Key: "key", Timeout: 4 * time.Second,
	Routes: []route{{Name: "order", Kind: "non_idempotent", Service: "services"}},
}

func init() { cases["hostile"] = playHostile }

// playHostile presses two machines with bodies of legal size that stop just short of their end, and is the platform, which kills a process beyond
// its memory.
func playHostile(f *fleet, trouble bool) error {
	hostileConfiguration.put(f.store)
	for i := range 3 {
		r := &replica{fleet: f, service: "services", zone: daemonZones[i], answer: func(_ *lifetime, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(15 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		}}
		l, err := r.start(fmt.Sprintf("i-%d", i), "v1")
		if err != nil {
			return err
		}
		defer l.crash("the end of the case")
	}
	for range machinesThatCount {
		if err := f.addDaemon(); err != nil {
			return err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	machines := 0
	for _, d := range f.daemons {
		ends := 0
		for range waves {
			ended, err := f.playWave(d, trouble)
			if err != nil {
				return err
			}
			if ended {
				ends++
			}
		}
		if ends >= endsThatCount {
			machines++
		}
		f.note("%s: the process ended %d times", d.name, ends)
	}
	if machines >= machinesThatCount {
		return fmt.Errorf("%w: Fault, on %d machines processes exceeded their memory %d times", errBroken, machines, endsThatCount)
	}
	return nil
}

// playWave lets a crowd press a daemon. It reports whether the daemon exceeded its memory, for which it was killed and started again.
func (f *fleet) playWave(d *daemon, trouble bool) (ended bool, err error) {
	var crowd sync.WaitGroup
	var answered atomic.Int64
	stop := make(chan struct{})
	for n := range crowdSize {
		crowd.Go(func() {
			if !trouble {
				soundClient(d.callers, n, stop, &answered)
				return
			}
			hostileClient(d.callers, n, stop)
		})
	}
	most, mostUnread := 0, 0
	for end := time.Now().Add(waveTime); time.Now().Before(end) && !ended; time.Sleep(sampleInterval) {
		resident, err := residentBytes(d.process.Process.Pid)
		if err != nil {
			return false, err
		}
		unread := unreadBytes(d.callers)
		if resident+unread > most {
			most, mostUnread = resident+unread, unread
		}
		ended = resident+unread > memoryBytes
	}
	f.note("%s: %d bytes at most, of which %d were received and not read; %d sound requests answered", d.name, most, mostUnread, answered.Load())
	if ended {
		f.kill(d)
	}
	close(stop)
	crowd.Wait()
	time.Sleep(500 * time.Millisecond)
	if ended {
		if err := f.start(d); err != nil {
			return true, err
		}
	}
	return ended, f.awaitReady(20 * time.Second)
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (bytes int, err error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no resident memory", pid)
}

// unreadBytes returns how much has been received on the channels of an address and was not read yet.
func unreadBytes(address string) (unread int) {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		const listening = "0A"
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", number)) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		unread += int(bytes)
	}
	return unread
}

var hostileIDs atomic.Int64

func hostileHead(fields string) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h%d\r\nAuthorization: Token %s\r\nX-Deadline-Ms: 4000\r\n%s\r\n\r\n",
		hostileConfiguration.Host, hostileIDs.Add(1), hostileConfiguration.Key, fields)
}

// hostileClient sends a body of legal size that stops just short of its end, with a length or in very small chunks, and stays. It comes back when its
// channel was closed.
func hostileClient(address string, n int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(sampleInterval)
			continue
		}
		done := make(chan struct{})
		go func() {
			select {
			case <-stop:
			case <-done:
			}
			_ = conn.Close()
		}()
		if n%2 == 0 {
			_, _ = io.WriteString(conn, hostileHead("Content-Length: "+strconv.Itoa(legalBody)))
			_, _ = conn.Write(make([]byte, legalBody-1))
		} else {
			_, _ = io.WriteString(conn, hostileHead("Transfer-Encoding: chunked"))
			_, _ = conn.Write(bytes.Repeat([]byte("1\r\nx\r\n"), 300<<10))
		}
		_, _ = io.Copy(io.Discard, conn) // It stays until its channel is closed.
		close(done)
	}
}

// soundClient sends small requests and reads the answers.
func soundClient(address string, n int, stop <-chan struct{}, answered *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for {
		request, err := hostileConfiguration.request(address, hostileConfiguration.Routes[0], "sound", fmt.Sprintf("sound%d-%d", n, hostileIDs.Add(1)))
		if err != nil {
			return
		}
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				answered.Add(1)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
	}
}
