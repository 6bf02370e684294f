package main_test

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/seeder"
)

const (
	// hostileWaves is the number of times that crowds come, and waveTroubles the most that happens during each of them.
	hostileWaves = 4
	waveTroubles = 3
	// waveTime bounds the time between two troubles.
	waveTime = 800 * time.Millisecond
	// stopTime is by far longer than a daemon may take to stop.
	stopTime = time.Minute
)

// hostileSoak is one daemon among crowds that come while it is signalled, stopped and started anew, or its platform is silent.
type hostileSoak struct {
	*hostile
	random *rand.Rand
	cases  []hostileCase
	// crowds are those of the current wave, port is where their unread bytes are counted, and watch is of the daemon's current process.
	crowds []*crowd
	port   string
	watch  processWatch
}

// Guards against crowds that end a process, fill its memory or make it hang while it starts, stops, reloads its settings, is suspended, or can't reach
// its platform. Longer runs: RILL_SOAK_SEEDS="1 2 3" go test ./cmd/rilld -count=1 -timeout 1h -run TestHostileClientsDuringTrouble
func TestHostileClientsDuringTrouble(t *testing.T) {
	seeder.Soak(t, func(t *testing.T, seed uint64) {
		s := newHostileSoak(t, seed)
		for range hostileWaves {
			s.wave()
		}
		s.expectAnswer(0)
		s.expectAnswer(s.largestBody)
		s.expectRest()
	})
}

func newHostileSoak(t *testing.T, seed uint64) *hostileSoak {
	s := &hostileSoak{random: rand.New(rand.NewPCG(seed, 0))}
	folder := newProcesses(t).folder
	switch s.random.IntN(3) {
	case 0:
		s.hostile, s.cases = startHostileFront(t, folder), append(frontParsedCases, frontHostileCases...)
	case 1:
		s.hostile, s.cases = startHostileServe(t, folder), append(serveParsedCases, serveHostileCases...)
	default:
		s.hostile, s.cases = startEncryptedServe(t, folder), http2Cases
	}
	return s
}

// wave plays one crowd or two, and troubles meanwhile.
func (s *hostileSoak) wave() {
	s.crowds = nil
	c := s.drawCrowd()
	s.port = c.port
	name := c.name + "; "
	s.startWatch()
	s.crowds = append(s.crowds, s.startCrowd(c))
	if s.random.IntN(2) == 0 {
		c = s.drawCrowd()
		name += c.name + "; "
		s.crowds = append(s.crowds, s.startCrowd(c))
	}
	for range s.random.IntN(waveTroubles + 1) {
		time.Sleep(time.Duration(s.random.Int64N(int64(waveTime))))
		name += s.trouble() + "; "
	}
	time.Sleep(settleTime)
	for _, crowd := range s.crowds {
		crowd.leave()
	}
	s.endWatch(name)
}

// drawCrowd returns a crowd, which may be smaller than in the tests of single crowds.
func (s *hostileSoak) drawCrowd() hostileCase {
	c := s.cases[s.random.IntN(len(s.cases))]
	c.clients /= 1 + s.random.IntN(3)
	return c
}

// restart starts the daemon anew, while a crowd waits for its ports.
func (s *hostileSoak) restart() {
	s.crowds = append(s.crowds, s.startCrowd(s.drawCrowd()))
	s.startDaemon()
	s.startWatch()
}

func (s *hostileSoak) startWatch() {
	s.watch = watchProcess(s.running["daemon"].command.Process.Pid, s.ports[s.port])
}

func (s *hostileSoak) endWatch(name string) { s.checkPeak(name, s.watch.end()) }

// trouble does something to the daemon or to its platform, and returns what.
func (s *hostileSoak) trouble() string {
	duration := time.Duration(s.random.Int64N(int64(maxStandstill)))
	switch s.random.IntN(6) {
	case 0:
		s.signal("daemon", syscall.SIGHUP)
		return "reload"
	case 1, 2:
		s.suspend("daemon", duration)
		return "suspended"
	case 3:
		if _, ok := s.running["platform"]; !ok {
			return "nothing"
		}
		s.suspend("platform", duration)
		return "platform silent"
	case 4:
		s.endWatch("before a stop")
		s.stop()
		s.restart()
		return "stopped and started"
	}
	s.endWatch("before a kill")
	s.kill("daemon")
	s.restart()
	return "killed and started"
}

func (s *hostileSoak) suspend(name string, duration time.Duration) {
	s.signal(name, syscall.SIGSTOP)
	time.Sleep(duration)
	s.signal(name, syscall.SIGCONT)
}

// stop stops the daemon while the crowds hold their connections. Further signals may come meanwhile.
func (s *hostileSoak) stop() {
	daemon := s.running["daemon"]
	daemon.ended.Store(true)
	s.signal("daemon", syscall.SIGTERM)
	for range s.random.IntN(3) {
		_ = daemon.command.Process.Signal(syscall.SIGHUP) // The process may have ended.
		time.Sleep(time.Duration(s.random.Int64N(int64(waveTime))))
		_ = daemon.command.Process.Signal(syscall.SIGTERM) // The same.
	}
	select {
	case <-daemon.done:
		if code := daemon.command.ProcessState.ExitCode(); code != 0 {
			s.t.Errorf("the daemon exited with status %d: %s", code, daemon.state)
		}
	case <-time.After(stopTime):
		s.t.Fatalf("the daemon did not stop within %s", stopTime)
	}
	delete(s.running, "daemon")
}
