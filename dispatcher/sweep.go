package dispatcher

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// sweepPageSize is the maximum number of records in one listing.
const sweepPageSize = 100

// unsettledRetentionFactor multiplies the retention for unsettled calls.
const unsettledRetentionFactor = 5

// Unsettled is a call that may have run and whose outcome is not known.
type Unsettled struct {
	Account   string
	Service   string
	Operation string
	RequestID string
	Daemon    string
	Target    string
	State     State
	Created   time.Time
}

// SweepReport is the result of a sweep.
type SweepReport struct {
	// Seen counts the records that were read.
	Seen int
	// Deleted counts the records that were deleted because their retention had passed.
	Deleted int
	// Settled counts the unsettled calls whose outcome was found by a look-up and stored.
	Settled int
	// Unsettled lists the calls whose outcome is still unknown.
	Unsettled []Unsettled
}

// Unsettled lists the calls that may have run and whose outcome is not known. It reads the
// whole ledger at the sweep rate.
func (d *Dispatcher) Unsettled(ctx context.Context) (unsettled []Unsettled, err error) {
	defer Error.WrapP(&err)
	err = d.scan(ctx, func(_ storer.Item, r *record, _ *rate.Limiter) error {
		if d.lacksOutcome(r) {
			unsettled = append(unsettled, newUnsettled(r))
		}
		return nil
	})
	return unsettled, err
}

// Sweep reads the ledger once. It deletes old outcomes, settles calls without outcome by a
// look-up at their service, and lists those that remain unsettled. The caller ensures by a lease
// that usually only one daemon sweeps; concurrent sweeps are safe, since all writes are
// conditional.
func (d *Dispatcher) Sweep(ctx context.Context) (report SweepReport, err error) {
	defer Error.WrapP(&err)
	err = d.scan(ctx, func(item storer.Item, r *record, limiter *rate.Limiter) error {
		report.Seen++
		return d.sweepRecord(ctx, item, r, limiter, &report)
	})
	return report, err
}

// scan calls visit for each record of the ledger.
func (d *Dispatcher) scan(ctx context.Context, visit func(storer.Item, *record, *rate.Limiter) error) error {
	limiter := rate.NewLimiter(rate.Limit(d.settings.SweepRate), 1)
	after := ""
	for {
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
		page, err := d.settings.Store.List(ctx, ledgerPrefix, after, sweepPageSize)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			after = item.Key
			r, err := decodeRecord(item.Value)
			if err != nil {
				d.logger.Error("dispatcher: skipping a record that cannot be decoded", "error", err)
				continue
			}
			if err := visit(item, &r, limiter); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}

func (d *Dispatcher) sweepRecord(ctx context.Context, item storer.Item, r *record, limiter *rate.Limiter, report *SweepReport) error {
	if d.lacksOutcome(r) {
		settled, err := d.settleRecord(ctx, item, r, limiter)
		if err != nil {
			return err
		}
		if settled {
			report.Settled++
			return nil
		}
		report.Unsettled = append(report.Unsettled, newUnsettled(r))
	}
	if !d.isExpired(r) {
		return nil
	}
	if err := limiter.Wait(ctx); err != nil {
		return err
	}
	if err := d.settings.Store.Delete(ctx, item.Key, item.Version); err != nil {
		return ignoreLostRace(err)
	}
	report.Deleted++
	return nil
}

// settleRecord looks up the key of a record at its service and stores the result.
func (d *Dispatcher) settleRecord(ctx context.Context, item storer.Item, r *record, limiter *rate.Limiter) (settled bool, err error) {
	answer, state, err := d.lookup(ctx, r)
	if err != nil {
		return false, nil // The next sweep retries the look-up.
	}
	final := *r
	switch state {
	case LookupRan:
		final.setAnswer(answer)
	case LookupNeverRuns:
		final.state = StateNotRun
		final.retired = true
	default:
		return false, nil
	}
	if err := limiter.Wait(ctx); err != nil {
		return false, err
	}
	_, err = d.write(ctx, item.Key, &final, item.Version)
	return err == nil, ignoreLostRace(err)
}

// lacksOutcome reports whether no daemon will send the call of the record any more and its outcome
// is not known.
func (d *Dispatcher) lacksOutcome(r *record) bool {
	if r.state == StateRunning {
		return time.Since(r.deadline) > d.settings.OutcomeGrace
	}
	return r.state == StateMayHaveRun
}

// isExpired reports whether the retention of the record has passed.
func (d *Dispatcher) isExpired(r *record) bool {
	retention := d.settings.Retention
	if d.lacksOutcome(r) {
		retention *= unsettledRetentionFactor
	}
	return time.Since(r.created) > retention
}

// ignoreLostRace returns nil for the errors of a conditional write that mean that another daemon
// changed the record first, and for a write whose outcome is unknown.
func ignoreLostRace(err error) error {
	var unknown *storer.UnknownOutcomeError
	if isConflict(err) || isNotFound(err) || errors.As(err, &unknown) {
		return nil
	}
	return err
}

func newUnsettled(r *record) Unsettled {
	return Unsettled{
		Account:   r.account,
		Service:   r.service,
		Operation: r.operation,
		RequestID: r.requestID,
		Daemon:    r.daemon,
		Target:    r.target,
		State:     r.state,
		Created:   r.created,
	}
}
