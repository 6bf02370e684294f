package configurator_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// observe checks every configuration that a Configurator publishes against the oracle.
func (m *member) observe(c *configurator.Configurator, done chan struct{}) {
	var last registrar.Revision
	for {
		changed := c.Changed()
		digest, snapshot := c.Digest(), c.Current()
		if digest.Revision < last || snapshot.Revision() < last {
			m.fleet.addViolation("daemon %d went from revision %d back to %d", m.index, digest.Revision, last)
		}
		if err := validatePairs(snapshot.Objects()); err != nil {
			m.fleet.addViolation("daemon %d at revision %d: %v", m.index, snapshot.Revision(), err)
		}
		m.fleet.record(digest, c.Entries(last, 1<<20))
		last = digest.Revision
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// record collects the log as seen by the daemons. Two contents for one revision are a violation.
func (f *fleet) record(digest configurator.Digest, entries []configurator.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.hashes[digest.Revision]; ok && known != digest.Hash {
		f.violations = append(f.violations, fmt.Sprintf("revision %d is %s and %s", digest.Revision, known, digest.Hash))
	}
	f.hashes[digest.Revision] = digest.Hash
	for _, raw := range entries {
		revision, _ := f.parse(raw)
		if known, ok := f.entries[revision]; ok && !bytes.Equal(known, raw) {
			f.violations = append(f.violations, fmt.Sprintf("revision %d has two contents", revision))
		}
		f.entries[revision] = raw
	}
}

func (f *fleet) parse(raw []byte) (revision registrar.Revision, id string) {
	var wire struct {
		Revision registrar.Revision `json:"revision"`
		Change   struct {
			Comment string `json:"comment"`
		} `json:"change"`
	}
	if err := json.Unmarshal(raw, &wire); err != nil {
		f.violations = append(f.violations, err.Error())
	}
	return wire.Revision, wire.Change.Comment
}

// checkReady checks that a daemon that becomes ready has all changes that were accepted longer than
// propagationLimit ago.
func (m *member) checkReady(c *configurator.Configurator, done chan struct{}) {
	for !c.Ready() {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.reachablePeers < len(m.fleet.members)-1 || m.sawStaleReads {
		return
	}
	m.fleet.coverage["ready checked"]++
	for _, a := range m.fleet.accepted {
		if time.Since(a.at) > propagationLimit && c.Digest().Revision < a.revision {
			m.fleet.violations = append(m.fleet.violations,
				fmt.Sprintf("daemon %d is ready at revision %d without %d", m.index, c.Digest().Revision, a.revision))
		}
	}
}

func (f *fleet) recordError(id string, err error) {
	var unsettled *configurator.UnsettledError
	var fork *configurator.ForkError
	var overlap *configurator.OverlapError
	switch {
	case errors.As(err, &unsettled):
		f.cover("unsettled", 1)
		return
	case errors.As(err, &fork):
		f.addViolation("commit found a fork: %v", err)
	case errors.As(err, &overlap):
		f.cover("overlap", 1)
	default:
		f.cover("refused", 1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected[id] = err
}

// checkPropagation checks that an accepted change is applied by all daemons that were reachable
// throughout propagationLimit.
func (f *fleet) checkPropagation(m *member, revision registrar.Revision, epoch int) {
	time.Sleep(propagationLimit)
	f.mu.Lock()
	epochUnchanged := f.epoch == epoch
	f.mu.Unlock()
	if !epochUnchanged {
		return
	}
	f.cover("propagation checked", 1)
	for _, other := range f.members {
		c := other.live()
		if c == nil || !c.Ready() || !f.canReach(m, other) {
			continue
		}
		if shown := c.Digest().Revision; shown < revision {
			f.addViolation("daemon %d is at revision %d, but %d was accepted %v ago", other.index, shown, revision, propagationLimit)
		}
	}
}

// checkFinalState clears all faults and checks that all daemons agree, that no accepted change was
// lost, that no rejected change was applied, and that a new daemon can start from the platform
// alone.
func (f *fleet) checkFinalState() {
	f.commits.Wait()
	f.clearFaults()
	time.Sleep(convergenceTime)
	final := f.members[0].live().Digest()
	for _, m := range f.members {
		c := m.live()
		if !c.Ready() || c.Digest() != final {
			f.addViolation("daemon %d ended ready=%v at %v, daemon 0 at %v: %v", m.index, c.Ready(), c.Digest(), final, c.Alarms())
		}
	}
	f.mu.Lock()
	f.checkLog(final.Revision)
	f.mu.Unlock()
	f.checkPlatformState(final)
}

func (f *fleet) checkLog(final registrar.Revision) {
	for _, a := range f.accepted {
		if _, id := f.parse(f.entries[a.revision]); id != a.id || a.revision > final {
			f.violations = append(f.violations, fmt.Sprintf("%s was accepted at revision %d, but the log up to %d has %q there", a.id, a.revision, final, id))
		}
	}
	seen := map[string]registrar.Revision{}
	for revision, raw := range f.entries {
		_, id := f.parse(raw)
		if err := f.rejected[id]; err != nil {
			f.violations = append(f.violations, fmt.Sprintf("%s was rejected (%v), but is revision %d", id, err, revision))
		}
		if other, ok := seen[id]; ok {
			f.violations = append(f.violations, fmt.Sprintf("%s is revision %d and %d", id, other, revision))
		}
		seen[id] = revision
	}
}

// checkPlatformState starts a daemon without peers and compares its configuration.
func (f *fleet) checkPlatformState(final configurator.Digest) {
	isolated := &member{fleet: &fleet{}, conn: f.platform.Connection("alone")}
	c, err := configurator.New(isolated.settings())
	if err != nil {
		panic(err)
	}
	time.Sleep(10 * time.Second)
	if c.Digest() != final {
		f.addViolation("a daemon without peers has digest %v, want %v: %v", c.Digest(), final, c.Alarms())
	}
	_ = c.Close()
}

// reportViolations fails the test if the oracle found violations. It is called outside of the
// synctest bubble.
func (f *fleet) reportViolations(t interface{ Fatalf(string, ...any) }, steps ...step) {
	if len(f.violations) == 0 {
		return
	}
	first := strings.Join(f.violations[:min(len(f.violations), 8)], "\n")
	t.Fatalf("%d violations:\n%s\nof the history %+v", len(f.violations), first, steps)
}
