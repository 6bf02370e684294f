package upgrader

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// releaseTimeout bounds the release of the update lock in Close.
const releaseTimeout = 400 * time.Millisecond

// leaseValid reports whether the lease under which this daemon acquired the update lock is still valid. It returns true
// if this daemon does not hold the lock.
func (u *Upgrader) leaseValid() bool {
	lease, held := u.settings.Lease.Held()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fencingToken == 0 || held && lease == u.lease
}

// mayOrder reports whether this daemon may send an order now: it is the active holder, and its lease was renewed
// less than MaxOrderLeaseAge ago.
func (u *Upgrader) mayOrder() bool {
	return u.isActiveHolder() && u.settings.Lease.RenewalAge() < MaxOrderLeaseAge
}

// isActiveHolder reports whether this daemon holds the update lock under a valid lease and has waited until
// ordersFrom.
func (u *Upgrader) isActiveHolder() bool {
	lease, held := u.settings.Lease.Held()
	u.mu.Lock()
	defer u.mu.Unlock()
	return held && lease == u.lease && u.fencingToken != 0 && !u.settings.Now().Before(u.ordersFrom)
}

// holdsValidLock reports whether this daemon holds the update lock under a valid lease. Before ordersFrom it may prepare
// updates, but sends no order.
func (u *Upgrader) holdsValidLock() bool {
	lease, held := u.settings.Lease.Held()
	u.mu.Lock()
	defer u.mu.Unlock()
	return held && lease == u.lease && u.fencingToken != 0
}

// untilPreparation returns the time until this daemon, as the holder of the update lock, begins to prepare updates, so
// that engines are drained when its first order is allowed.
func (u *Upgrader) untilPreparation() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ordersFrom.Sub(u.settings.Now()) - drainDelay
}

// heldByOther reports whether another daemon holds the update lock, so that this one needs no lease.
func (u *Upgrader) heldByOther() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	holder, locked := u.keys[holderKey]
	return u.fencingToken == 0 && locked && string(holder.Value) != u.settings.Name
}

const (
	// baseAcquireDelay is the least time for which a daemon waits before it tries to acquire a free lock.
	// uptimeAcquireDelay is added in proportion to the daemon's uptime, in full from longUptime on.
	// acquireJitter bounds a random addition, so that usually only one daemon tries.
	baseAcquireDelay   = 20 * time.Millisecond
	uptimeAcquireDelay = 300 * time.Millisecond
	longUptime         = 30 * time.Second
	acquireJitter      = 200 * time.Millisecond
)

// shouldAcquire reports whether the update lock has been free for at least this daemon's acquireDelay.
func (u *Upgrader) shouldAcquire() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.synced || u.fencingToken != 0 {
		return false
	}
	if _, locked := u.keys[holderKey]; locked {
		u.vacantSince = time.Time{}
		return false
	}
	if u.vacantSince.IsZero() {
		u.vacantSince = time.Now()
		u.acquireDelay = acquireDelay(time.Since(u.started))
	}
	return time.Since(u.vacantSince) >= u.acquireDelay
}

// acquireDelay returns how long a daemon waits before it tries to acquire a free lock. The daemons that
// started last try first: in a rolling restart they have restarted already, so the lock has to move to
// another daemon less often.
func acquireDelay(uptime time.Duration) time.Duration {
	age := min(uptime, longUptime)
	return baseAcquireDelay + time.Duration(float64(uptimeAcquireDelay)*float64(age)/float64(longUptime)) + rand.N(acquireJitter)
}

// acquire tries to acquire the update lock. If this daemon has no lease yet, it only requests one with SetWanted.
//
// The first order is sent only when takeOverWait has passed.
func (u *Upgrader) acquire(ctx context.Context) {
	u.settings.Lease.SetWanted(true)
	lease, held := u.settings.Lease.Held()
	if !held || u.isLost(lease) {
		return // The owner of the Upgrader calls Wake once the lease has been acquired (see leaser.Settings.OnAcquired).
	}
	u.mu.Lock()
	formerItem, known := u.keys[formerKey]
	u.noteAttempt(lease)
	u.vacantSince = time.Time{}
	u.lastAcquisition = acquisition{lease: lease, former: decodeFormer(formerItem.Value), known: known, at: u.settings.Now()}
	u.mu.Unlock()
	version, err := u.settings.Store.Commit(ctx, storer.Transaction{
		// The wait for the first order follows from the former holder, so that has to be the last one still. What this daemon
		// reads may be a copy of some seconds ago.
		Conditions: []storer.Condition{{Key: holderKey}, {Key: formerKey, Version: formerItem.Version}},
		Puts: []storer.Put{
			{Key: holderKey, Value: []byte(u.settings.Name), Lease: lease},
			{Key: formerKey, Value: encodeFormer(formerHolder{name: u.settings.Name, era: lease.Era()})},
		},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return // Another daemon has acquired the lock, or had it meanwhile.
	}
	if err != nil {
		u.settings.Logger.Warn("outcome of acquiring the update lock is unknown", "error", err)
		return // If the write took effect, applyKeys makes this daemon the holder once it sees the lock's key.
	}
	u.becomeHolder(version)
}

// acquisition is an attempt of this daemon to acquire the update lock.
type acquisition struct {
	lease storer.LeaseID
	// former is the former holder if it is known.
	former formerHolder
	known  bool
	// at is when the attempt was sent.
	at clocker.Instant
}

// takeOverWait returns how long this daemon, as the holder since its last acquisition, waits with its first order after it:
// until TakeOverDelay has passed since the last order of the former holder, if that is another daemon. The caller holds mu.
//
// A former holder of an earlier era, or none after an earlier era, may not be the last one. The last one may send orders for
// up to MaxOrderLeaseAge after the store came back, until it learns from its renewal that its lease is lost.
func (u *Upgrader) takeOverWait(era storer.Era) time.Duration {
	former := u.lastAcquisition.former
	switch {
	case u.lastAcquisition.known && former.era != era, !u.lastAcquisition.known && u.firstEra != era:
		return u.settings.TakeOverDelay + MaxOrderLeaseAge
	case !u.lastAcquisition.known || former.name == u.settings.Name:
		return 0
	default:
		return max(u.settings.TakeOverDelay-former.idleTime(u.settings.LeaseTTL), 0)
	}
}

// becomeHolder makes this daemon the holder. The version of the lock's key is its fencing token.
func (u *Upgrader) becomeHolder(fencingToken storer.Version) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fencingToken != 0 || u.closed {
		return
	}
	u.noteEra(fencingToken)
	u.fencingToken, u.lease = fencingToken, u.lastAcquisition.lease
	u.ordersFrom = u.lastAcquisition.at.Add(u.takeOverWait(fencingToken.Era()))
	u.settings.Logger.Info("update lock acquired", "fence", fencingToken, "era", fencingToken.Era(), "former", u.lastAcquisition.former.name,
		"first_order_after_ms", u.ordersFrom.Sub(u.settings.Now()).Milliseconds())
}

// isOwnAcquisition reports whether the lock's key was written by this daemon's last attempt to acquire the
// lock. The store's answer to that attempt may have been lost.
func (u *Upgrader) isOwnAcquisition(holder storer.Item) bool {
	lease, held := u.settings.Lease.Held()
	u.mu.Lock()
	defer u.mu.Unlock()
	return held && u.fencingToken == 0 && string(holder.Value) == u.settings.Name && holder.Lease == lease && lease == u.lastAcquisition.lease
}

// stepDown makes this daemon stop acting as the holder. It does not call the store, which deletes the lock's key when
// the lease ends unless Close has deleted it.
func (u *Upgrader) stepDown(reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fencingToken != 0 {
		u.settings.Logger.Info("update lock lost", "fence", u.fencingToken, "reason", reason)
	}
	u.fencingToken = 0
}

// applyKeys evaluates the current keys: this daemon steps down if another one has acquired the update lock,
// and becomes the holder if its own last attempt to acquire the lock took effect.
func (u *Upgrader) applyKeys() {
	u.mu.Lock()
	holder, locked := u.keys[holderKey]
	fencingToken := u.fencingToken
	u.mu.Unlock()
	if fencingToken != 0 && u.inLaterEra(fencingToken) {
		u.stepDown("the store has come back from a copy")
	} else if fencingToken != 0 && locked && holder.Version > fencingToken {
		u.stepDown("another daemon has taken it")
	}
	u.takeOwnLock()
	u.Wake()
}

// takeOwnLock makes this daemon the holder if the lock's key is its own. Beside a lost answer, that is the case if the
// store was away for longer than the lease seemed valid here, and kept the lease and the key meanwhile.
func (u *Upgrader) takeOwnLock() {
	u.mu.Lock()
	holder, locked := u.keys[holderKey]
	u.mu.Unlock()
	if locked && u.isOwnAcquisition(holder) {
		u.becomeHolder(holder.Version)
	}
}
