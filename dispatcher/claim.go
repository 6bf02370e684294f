package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// claim is the result of writing an intent: either the intent was stored, or a record of another
// run is stored under the key.
type claim struct {
	// acquired reports whether the run's intent was stored. If so, intent is that intent and version
	// its version on the platform. If not, existing is the record of the other run, which was read at
	// version.
	acquired bool
	intent   record
	version  storer.Version
	existing record
}

// claimError reports that no write of the intent was confirmed before the context ended or the
// platform had been unavailable for Settings.StoreWait.
type claimError struct {
	// mayBeWritten reports whether a write may have taken effect, so that the intent must be marked
	// as not run.
	mayBeWritten bool
	intent       record
	version      storer.Version
	cause        error
}

// Error describes the cause.
func (e *claimError) Error() string { return "intent not written: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *claimError) Unwrap() error { return e.cause }

// writeIntent writes the intent if the key is still at the version; version zero means that the key
// must be absent. A write whose answer was lost is retried with the same nonce. A read that does
// not return the intent does not prove that the first write failed, since the read may be stale and
// the write may still be in flight. Only the result of the next conditional write proves that.
func (d *Dispatcher) writeIntent(ctx context.Context, r *run, intent record, version storer.Version) (c claim, err error) {
	mayBeWritten := false
	retry := d.newBackoff()
	for {
		written, err := d.write(ctx, r.id.Key, &intent, version)
		if err == nil {
			return claim{acquired: true, intent: intent, version: written}, nil
		}
		mayBeWritten = mayBeWritten || mayHaveBeenWritten(err)
		if isConflict(err) {
			r.setOtherMayHaveRun(true)
		}
		if !isUnavailable(err) {
			c, found := d.readClaim(ctx, r, intent, version)
			if found {
				return c, nil
			}
		}
		if !retry.sleepUnlessDown(ctx, isUnavailable(err)) {
			return claim{}, &claimError{mayBeWritten: mayBeWritten, intent: intent, version: version, cause: err}
		}
	}
}

// readClaim reads the key after a write that was refused or whose answer was lost. It reports
// false if the read does not decide the claim.
func (d *Dispatcher) readClaim(ctx context.Context, r *run, intent record, version storer.Version) (c claim, found bool) {
	item, existing, err := d.read(ctx, r.id.Key)
	if err != nil {
		return claim{}, false
	}
	if existing.nonce == intent.nonce {
		r.setOtherMayHaveRun(false)
		return claim{acquired: true, intent: intent, version: item.Version}, true
	}
	if item.Version <= version {
		return claim{}, false
	}
	return claim{existing: existing, version: item.Version}, true
}

// write stores the record under the key if the key is still at the version; version zero means that
// the key must be absent.
func (d *Dispatcher) write(ctx context.Context, key string, r *record, version storer.Version) (written storer.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.StoreTimeout)
	defer cancel()
	if version == 0 {
		return d.settings.Store.Create(ctx, key, r.encode(), storer.NoLease)
	}
	return d.settings.Store.Swap(ctx, key, r.encode(), version, storer.NoLease)
}

// read returns the record under the key. The answer may be stale.
func (d *Dispatcher) read(ctx context.Context, key string) (item storer.Item, r record, err error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.StoreTimeout)
	defer cancel()
	item, err = d.settings.Store.Get(ctx, key)
	if err != nil {
		return storer.Item{}, record{}, err
	}
	r, err = decodeRecord(item.Value)
	return item, r, err
}

// mayHaveBeenWritten reports whether a write that returned the error may have taken effect.
func mayHaveBeenWritten(err error) bool {
	var unknown *storer.UnknownOutcomeError
	return errors.As(err, &unknown) || !isUnavailable(err) && !isConflict(err)
}

func isUnavailable(err error) bool {
	var unavailable *storer.UnavailableError
	return errors.As(err, &unavailable)
}

func isConflict(err error) bool {
	var conflict *storer.ConflictError
	return errors.As(err, &conflict)
}

func isNotFound(err error) bool {
	var missing *storer.NotFoundError
	return errors.As(err, &missing)
}

// backoff is the exponential backoff between requests to the platform, a peer or a look-up.
type backoff struct {
	// delay is the next pause.
	delay time.Duration
	// unavailableLimit is how long the platform may stay unavailable before retries end.
	unavailableLimit time.Duration
	// unavailableSince is when the platform became unavailable, or zero while it is available.
	unavailableSince time.Time
}

func (d *Dispatcher) newBackoff() *backoff {
	return &backoff{delay: d.settings.RetryInterval, unavailableLimit: d.settings.StoreWait}
}

// sleepUnlessDown pauses before the next attempt. It reports false if the context has ended or the
// platform has been unavailable for unavailableLimit.
func (b *backoff) sleepUnlessDown(ctx context.Context, unavailable bool) bool {
	now := time.Now()
	if !unavailable {
		b.unavailableSince = time.Time{}
	} else if b.unavailableSince.IsZero() {
		b.unavailableSince = now
	}
	if unavailable && now.Sub(b.unavailableSince) >= b.unavailableLimit {
		return false
	}
	return b.sleep(ctx)
}

// sleep pauses and doubles the next pause, up to maxRetryInterval. It reports false when the
// context has ended.
func (b *backoff) sleep(ctx context.Context) bool {
	timer := time.NewTimer(b.delay)
	defer timer.Stop()
	b.delay = min(2*b.delay, maxRetryInterval)
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
