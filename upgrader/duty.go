package upgrader

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// handOverTimeout bounds the end of the duty at a stop.
const handOverTimeout = 400 * time.Millisecond

// leaseStands says whether the lease under which the duty was taken still holds.
func (u *Upgrader) leaseStands() bool {
	lease, held := u.settings.Lease.Held()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fence == 0 || held && lease == u.lease
}

// mayOrder says whether this daemon may give an order at this moment: its lease has just been renewed.
func (u *Upgrader) mayOrder() bool {
	return u.holding() && u.settings.Lease.Age() < OrderAge
}

// holding says whether this daemon holds the duty and the time of the holder before is over.
func (u *Upgrader) holding() bool {
	lease, held := u.settings.Lease.Held()
	u.mu.Lock()
	defer u.mu.Unlock()
	return held && lease == u.lease && u.fence != 0 && !u.settings.Now().Before(u.began)
}

// heldElsewhere says whether another daemon has the duty, so that this one needs no lease.
func (u *Upgrader) heldElsewhere() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	holder, taken := u.seen[holderKey]
	return u.fence == 0 && taken && string(holder.Value) != u.settings.Name
}

const (
	// vacantPause delays every attempt to take the duty, agePause those of daemons that have run
	// for settledAfter, and spreadPause is drawn at random, so that mostly one tries.
	vacantPause  = 20 * time.Millisecond
	agePause     = 300 * time.Millisecond
	settledAfter = 30 * time.Second
	spreadPause  = 200 * time.Millisecond
)

// vacant says whether nobody has the duty and it is this daemon's turn to try.
func (u *Upgrader) vacant() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.synced || u.fence != 0 {
		return false
	}
	if _, taken := u.seen[holderKey]; taken {
		u.lost = time.Time{}
		return false
	}
	if u.lost.IsZero() {
		u.lost = time.Now()
		u.turn = turn(time.Since(u.started))
	}
	return time.Since(u.lost) >= u.turn
}

// turn is how long a daemon waits before it tries to take a vacant duty. Those that started last
// come first: where daemons are restarted one after the other, they are the last to stop again.
func turn(running time.Duration) time.Duration {
	age := min(running, settledAfter)
	return vacantPause + time.Duration(float64(agePause)*float64(age)/float64(settledAfter)) + rand.N(spreadPause)
}

// take tries to become the holder.
func (u *Upgrader) take(ctx context.Context) {
	u.settings.Lease.Want(true)
	lease, held := u.settings.Lease.Held()
	if !held {
		return // A step follows as soon as it is.
	}
	u.mu.Lock()
	former, known := u.seen[formerKey]
	before := decodeFormer(former.Value)
	wait := time.Duration(0)
	if known && before.name != u.settings.Name {
		wait = max(u.settings.TakeOver-before.since(u.settings.LeaseTTL), 0)
	}
	u.lost = time.Time{}
	u.claim = claim{lease: lease, former: before.name, from: u.settings.Now().Add(wait)}
	u.mu.Unlock()
	version, err := u.settings.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: holderKey}},
		Puts: []storer.Put{
			{Key: holderKey, Value: []byte(u.settings.Name), Lease: lease},
			{Key: formerKey, Value: encodeFormer(formerHolder{name: u.settings.Name})},
		},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return // Another daemon was first.
	}
	if err != nil {
		u.settings.Logger.Warn("duty not taken for certain", "error", err)
		return // The key tells, once it is seen.
	}
	u.hold(version)
}

// claim is the last attempt of this daemon to take the duty.
type claim struct {
	lease  storer.LeaseID
	former string
	// from is when the first order may be given.
	from clocker.Instant
}

// hold makes this daemon the holder under the key of the version.
func (u *Upgrader) hold(fence storer.Version) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fence != 0 || u.stopped {
		return
	}
	u.fence, u.lease, u.began = fence, u.claim.lease, u.claim.from
	u.settings.Logger.Info("duty taken", "fence", fence, "former", u.claim.former,
		"first_order_after_ms", u.began.Sub(u.settings.Now()).Milliseconds())
}

// claimed says whether the key was written by the last attempt of this daemon, whose answer may have
// been lost.
func (u *Upgrader) claimed(holder storer.Item) bool {
	lease, held := u.settings.Lease.Held()
	u.mu.Lock()
	defer u.mu.Unlock()
	return held && u.fence == 0 && string(holder.Value) == u.settings.Name && holder.Lease == lease && lease == u.claim.lease
}

// standDown gives the duty up in this daemon's mind; the store drops the key with the lease.
func (u *Upgrader) standDown(reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fence != 0 {
		u.settings.Logger.Info("duty lost", "fence", u.fence, "reason", reason)
	}
	u.fence = 0
}

// react follows the keys: it stands down where another daemon holds the duty, and recognises its own
// claim.
func (u *Upgrader) react() {
	u.mu.Lock()
	holder, taken := u.seen[holderKey]
	fence := u.fence
	u.mu.Unlock()
	if fence != 0 && taken && holder.Version > fence {
		u.standDown("another daemon has taken it")
	}
	if taken && u.claimed(holder) {
		u.hold(holder.Version)
	}
	u.Wake()
}
