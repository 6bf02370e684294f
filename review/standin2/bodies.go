package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB is limits.memoryMb of the machines of Recife. The platform kills a process that exceeds it.
	memoryMB = 134
	// bodyBytes is the size of a long request. It stays inside limits.maxBodyBytes of the configuration, 4,194,304.
	bodyBytes = 4_000_000
	// usersAtOnce is the number of users that come at once to each machine.
	usersAtOnce = 30
	waves       = 3
	platformLag = 500 * time.Millisecond
)

// peakMB returns the most memory that a process has had, in MB of a million bytes.
func peakMB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kibibytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kibibytes * 1024 / 1e6
		}
	}
	return 0
}

// guard does what the platform does with memory: it kills the process of a daemon that exceeds its limit, and starts it again.
func (w *world) guard(ctx context.Context, d *daemon, kills *int, peak *float64) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		used := peakMB(d.command.Process.Pid)
		*peak = max(*peak, used)
		if used <= memoryMB {
			continue
		}
		d.kill()
		*kills++
		w.note("daemon %s has had %.0f MB, the limit is %d MB: killed by the platform, %d times so far", d.name, used, memoryMB, *kills)
		time.Sleep(platformLag)
		if err := d.start(); err != nil {
			w.note("daemon %s not started: %v", d.name, err)
			return
		}
	}
}

// longBodies lets users come at once with long requests, in waves. Without the disruption the same requests come one after the other.
func longBodies(w *world, t trouble) (breaches []string, err error) {
	w.putConfiguration(3)
	for _, id := range []string{"o-1", "o-2"} {
		if _, err := w.addReplica(replicaSettings{id: id, service: "orders", zone: "zone-1", software: "v1", slots: 64, firstAfter: 15 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var guards sync.WaitGroup
	defer guards.Wait()
	defer cancel()
	var daemons []*daemon
	kills, peaks := make([]int, 2), make([]float64, 2)
	for i := range kills {
		d, err := w.addDaemon(fmt.Sprint("front-", i+1), fmt.Sprint("zone-", i+1), memoryMB)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
		if err := d.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
		guards.Add(1)
		go func() {
			defer guards.Done()
			w.guard(ctx, d, &kills[i], &peaks[i])
		}()
	}
	body := strings.Repeat("x", bodyBytes)
	answered, lost := 0, 0
	for wave := range waves {
		for _, d := range daemons {
			if err := d.awaitReady(15 * time.Second); err != nil {
				return nil, err
			}
		}
		time.Sleep(500 * time.Millisecond)
		answers := make([]answer, usersAtOnce*len(daemons))
		var all sync.WaitGroup
		for i := range answers {
			c := call{id: fmt.Sprintf("b%d-%02d", wave, i), method: "POST", path: "/order/x", body: body, deadline: 4 * time.Second}
			if !t.cut {
				answers[i] = send(ctx, daemons[i%len(daemons)].callers, c)
				continue
			}
			all.Add(1)
			go func() {
				defer all.Done()
				answers[i] = send(ctx, daemons[i%len(daemons)].callers, c)
			}()
		}
		all.Wait()
		for i, a := range answers {
			w.note("request b%d-%02d of %d bytes to %s: status %d, whole %v, error %v", wave, i, bodyBytes, daemons[i%len(daemons)].name, a.status, a.whole, a.err)
			if a.status != 0 && a.whole {
				answered++
			} else {
				lost++
			}
		}
		w.note("wave %d: %d requests of %d bytes to %d daemons; %d answered and %d not answered so far", wave+1, len(answers), bodyBytes, len(daemons), answered, lost)
		time.Sleep(platformLag + 200*time.Millisecond)
	}
	cancel()
	guards.Wait()
	w.noteRuns("b")
	w.note("kills %v, most memory %.0f MB; %d requests answered, %d not", kills, peaks, answered, lost)
	if kills[0] >= 3 && kills[1] >= 3 {
		breaches = append(breaches, fmt.Sprintf("Fault: processes on two machines ended %d and %d times for memory over the limit, %d requests got no answer", kills[0], kills[1], lost))
	}
	if !t.kill && lost > 0 {
		return nil, fmt.Errorf("%d requests got no answer without the disruption", lost)
	}
	return breaches, nil
}
