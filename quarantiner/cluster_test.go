package quarantiner_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/quarantiner"
)

var errUnreachable = errors.New("peer unreachable")

// failureDetectionDelay is how long a dead daemon remains a member.
const failureDetectionDelay = 3 * time.Second

// cluster simulates the daemons and the targets of one data centre.
type cluster struct {
	mu      sync.Mutex
	daemons []*daemon
	targets []*target
	// crashesByCall counts the target crashes that the crashing call caused.
	crashesByCall int
	// runningCopies counts the running copies of the crashing call.
	runningCopies int
	reached       map[string]int
	// ends maps each body and target incarnation to the end of its last run.
	ends map[string]map[targetIncarnation]time.Time
	// crashes maps each target incarnation that crashed to the time of the crash.
	crashes map[targetIncarnation]time.Time
	// refused lists the bodies of refused calls.
	refused []string
}

// targetIncarnation is one incarnation of a target.
type targetIncarnation struct {
	target      string
	incarnation int
}

// crashesShortlyAfter counts the target incarnations that crashed at most five seconds after the
// body last ran there.
func (c *cluster) crashesShortlyAfter(body string) (crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, ended := range c.ends[body] {
		if at, crashed := c.crashes[i]; crashed && at.Sub(ended) <= 5*time.Second {
			crashes++
		}
	}
	return crashes
}

func (c *cluster) recordEnd(body string, i targetIncarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends[body] == nil {
		c.ends[body] = map[targetIncarnation]time.Time{}
	}
	c.ends[body][i] = time.Now()
}

func (c *cluster) countReached(condition string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached[condition]++
}

// daemon is one router with its quarantiner. It implements the Peers of that quarantiner.
type daemon struct {
	cluster *cluster
	name    string
	q       *quarantiner.Quarantiner

	died        time.Time
	partitioned bool
}

func newCluster(daemons, targets int) *cluster {
	c := &cluster{reached: map[string]int{}, ends: map[string]map[targetIncarnation]time.Time{}, crashes: map[targetIncarnation]time.Time{}}
	for i := range targets {
		c.targets = append(c.targets, &target{name: fmt.Sprintf("target-%d", i), up: true, broken: make(chan struct{})})
	}
	for i := range daemons {
		d := &daemon{cluster: c, name: fmt.Sprintf("daemon-%d", i)}
		d.q = quarantiner.New(quarantiner.Settings{Daemon: d.name, Peers: d, Logger: slog.New(slog.DiscardHandler)})
		c.daemons = append(c.daemons, d)
	}
	return c
}

func (d *daemon) dead() bool {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	return !d.died.IsZero()
}

func (d *daemon) Members() (members []string) {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	for _, other := range d.cluster.daemons {
		if other.died.IsZero() || time.Since(other.died) < failureDetectionDelay {
			members = append(members, other.name)
		}
	}
	return members
}

func (d *daemon) Ask(ctx context.Context, name string, request []byte) ([]byte, error) {
	for _, other := range d.cluster.daemons {
		if other.name != name {
			continue
		}
		time.Sleep(time.Millisecond)
		d.cluster.mu.Lock()
		unreachable := d.partitioned || other.partitioned || !d.died.IsZero() || !other.died.IsZero()
		d.cluster.mu.Unlock()
		if unreachable {
			return nil, errUnreachable
		}
		return other.q.Answer(ctx, request)
	}
	return nil, errUnreachable
}

// target is an engine. All its runs break when it crashes.
type target struct {
	name        string
	incarnation int
	up          bool
	broken      chan struct{}
}

func (c *cluster) crash(t *target, incarnation int, byCall bool) {
	c.mu.Lock()
	if !t.up || t.incarnation != incarnation {
		c.mu.Unlock()
		return
	}
	if byCall {
		c.crashesByCall++
	}
	t.up = false
	c.crashes[targetIncarnation{t.name, incarnation}] = time.Now()
	close(t.broken)
	c.mu.Unlock()
	// The daemons detect the crash at different times.
	for i, d := range c.daemons {
		time.AfterFunc(time.Duration(i*137%700)*time.Millisecond, func() {
			if !d.dead() {
				d.q.ReportCrash(context.Background(), t.name, fmt.Sprint(incarnation))
			}
		})
	}
	time.AfterFunc(2*time.Second, func() { c.restart(t) })
}

func (c *cluster) restart(t *target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.incarnation++
	t.up = true
	t.broken = make(chan struct{})
}

// breakConnections breaks the connections to a target that stays up.
func (c *cluster) breakConnections(t *target) {
	c.mu.Lock()
	incarnation := t.incarnation
	if t.up {
		close(t.broken)
		t.broken = make(chan struct{})
	}
	c.mu.Unlock()
	for second := range 10 {
		time.AfterFunc(time.Duration(second)*time.Second+400*time.Millisecond, func() { c.reportAlive(t, incarnation) })
	}
}

func (c *cluster) reportAlive(t *target, incarnation int) {
	c.mu.Lock()
	alive := t.up && t.incarnation == incarnation
	c.mu.Unlock()
	for _, d := range c.daemons {
		if alive && !d.dead() {
			d.q.ReportAlive(context.Background(), t.name, fmt.Sprint(incarnation))
		}
	}
}

// call is a call that one caller repeats until it ends.
type call struct {
	At            time.Duration
	Body          string
	Daemon        int
	Length        time.Duration
	CrashesTarget bool // crashes its target after Length
	Repeats       int
	Seed          uint64
}

// runCaller sends a call until it completes, is refused without a RetryAfter, or has run Repeats
// times.
func (c *cluster) runCaller(call call) string {
	time.Sleep(call.At)
	random := rand.New(rand.NewPCG(call.Seed, 1))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	fingerprint := quarantiner.NewFingerprint("account", [32]byte([]byte(fmt.Sprintf("%-32s", call.Body))))
	d := c.daemons[call.Daemon]
	pinned := ""
	for repeat := 0; repeat < call.Repeats && ctx.Err() == nil; {
		if d.dead() {
			d = c.daemons[random.IntN(len(c.daemons))]
			time.Sleep(10 * time.Millisecond)
			continue
		}
		t, incarnation, ok := c.pick(pinned, random)
		pinned = ""
		if !ok {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		release, err := d.q.Begin(ctx, fingerprint, t.name, fmt.Sprint(incarnation))
		var refused *quarantiner.QuarantinedError
		var down *quarantiner.TargetDownError
		var pinnedErr *quarantiner.PinnedError
		switch {
		case errors.As(err, &pinnedErr):
			c.countReached("copy pinned to the target of another copy")
			pinned = pinnedErr.Target
			time.Sleep(10 * time.Millisecond)
		case errors.As(err, &down):
			c.countReached("target broke while a watched call waited")
			time.Sleep(10 * time.Millisecond)
		case errors.As(err, &refused) && refused.RetryAfter == 0:
			c.mu.Lock()
			defer c.mu.Unlock()
			c.refused = append(c.refused, call.Body)
			return "refused"
		case errors.As(err, &refused):
			c.countReached("refused with a RetryAfter")
			time.Sleep(refused.RetryAfter)
		case err != nil:
			return "error: " + err.Error()
		default:
			outcome := c.run(call, t, incarnation)
			if d.dead() {
				c.countReached("daemon dead at the end of a run")
			} else {
				release(outcome)
			}
			if outcome == quarantiner.Completed {
				return "completed"
			}
			repeat++
			d = c.daemons[random.IntN(len(c.daemons))]
		}
	}
	return "gave up"
}

// pick chooses a target that is up.
func (c *cluster) pick(pinned string, random *rand.Rand) (t *target, incarnation int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range random.Perm(len(c.targets)) {
		t := c.targets[i]
		if t.up && (pinned == "" || pinned == t.name) {
			return t, t.incarnation, true
		}
	}
	return nil, 0, false
}

func (c *cluster) run(call call, t *target, incarnation int) quarantiner.Outcome {
	c.mu.Lock()
	broken := t.broken
	if !t.up || t.incarnation != incarnation {
		c.mu.Unlock()
		return quarantiner.NotStarted
	}
	if call.CrashesTarget {
		c.runningCopies++
		if c.runningCopies > 1 {
			c.reached["concurrent copies of the crashing call"]++
		}
	}
	c.mu.Unlock()
	started := time.Now()
	finished := false
	select {
	case <-time.After(call.Length):
		finished = true
	case <-broken:
	}
	c.recordEnd(call.Body, targetIncarnation{t.name, incarnation})
	if call.CrashesTarget {
		if finished {
			c.crash(t, incarnation, true)
		}
		// The target continues to run a call whose connection broke.
		time.AfterFunc(time.Until(started.Add(call.Length)), func() { c.crash(t, incarnation, true) })
		c.mu.Lock()
		c.runningCopies--
		c.mu.Unlock()
		return quarantiner.Broken
	}
	if !finished {
		c.countReached("harmless call broken by a crash")
		return quarantiner.Broken
	}
	return quarantiner.Completed
}
