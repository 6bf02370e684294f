package upgrader

import (
	"context"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// noteEra records the era of a version that was read from the store. The caller holds mu.
func (u *Upgrader) noteEra(version storer.Version) {
	if u.era == 0 {
		u.firstEra = version.Era()
	}
	u.era = max(u.era, version.Era())
}

// inLaterEra reports whether the store is known to have come back from a copy since it gave out a fencing token.
func (u *Upgrader) inLaterEra(fencingToken storer.Version) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.era > fencingToken.Era()
}

// isLost reports whether the store is known to have come back from a copy since it granted a lease, which may be another
// daemon's by now.
func (u *Upgrader) isLost(lease storer.LeaseID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.era > lease.Era()
}

// maxAttemptedLeases bounds the leases that a daemon remembers.
const maxAttemptedLeases = 16

// noteAttempt remembers a lease under which this daemon tries to acquire the lock. The caller holds mu.
func (u *Upgrader) noteAttempt(lease storer.LeaseID) {
	if slices.Contains(u.attempted, lease) {
		return
	}
	u.attempted = append(u.attempted, lease)
	u.attempted = u.attempted[max(len(u.attempted)-maxAttemptedLeases, 0):]
}

// releaseLostLock deletes the lock's key if it names this daemon, but is bound to a lease under which this daemon has not
// tried to acquire it, or is of a later era than the last attempt. The store has brought back the key then, or has bound it to
// another lease with the same id, which may be renewed by its owner for ever.
func (u *Upgrader) releaseLostLock(ctx context.Context) {
	u.mu.Lock()
	holder, locked := u.keys[holderKey]
	own := locked && u.fencingToken == 0 && string(holder.Value) == u.settings.Name
	lost := own && len(u.attempted) > 0 &&
		(!slices.Contains(u.attempted, holder.Lease) || u.lastAcquisition.lease.Era() < holder.Version.Era())
	u.mu.Unlock()
	if !lost {
		return
	}
	_, err := u.settings.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: holderKey, Version: holder.Version}},
		Deletes:    []string{holderKey},
	})
	u.settings.Logger.Info("lock of an earlier era deleted", "lease", holder.Lease, "error", err)
}
