package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
)

// Quotas bounds what the requests of client accounts consume at all daemons together.
type Quotas interface {
	// Acquire takes an amount from the quota of an account. It may wait shortly. Its error is a QuotaError if the quota does not
	// allow for the amount now.
	Acquire(ctx context.Context, account *cataloger.Account, amount float64) error
	// Charge takes an amount without a check, for a further attempt of a request that may have run. It may leave a debt.
	Charge(account *cataloger.Account, amount float64)
	// Refund gives back what Acquire or Charge took for an attempt that no target has run. held is the time since then: what was
	// taken long ago can't be used later without that the use of some seconds exceeds the quota.
	Refund(account *cataloger.Account, amount float64, held time.Duration)
}

// QuotaError reports that the quota of an account does not allow for a request now.
type QuotaError struct {
	Account string
	// RetryAfter is the time after which the quota is expected to allow for the request.
	RetryAfter time.Duration
}

// Error names the account and the time.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("the quota of account %s allows for the request in %s", e.Account, e.RetryAfter)
}

// quotaRetryAfter is the retry delay if the quota could not be asked.
const quotaRetryAfter = 500 * time.Millisecond

// acquireQuota takes the cost of the request from the quota of its account, unless an attempt that no target ran has left it, or the
// request has waited for a target since. A request that may have run is charged without a check, since its caller can't be told to come back.
func (r *relayedRequest) acquireQuota(ctx context.Context) *Refusal {
	quotas := r.relayer.settings.Quotas
	if quotas == nil || r.account == nil || !r.account.Quota.Limited() || r.charged != nil {
		return nil
	}
	cost := r.account.Quota.Cost(r.call.Prompt.PromptTokens+r.call.Prompt.MaxOutputTokens, r.call.Prompt.TokensCounted)
	if r.runs > 0 {
		quotas.Charge(r.account, cost)
		r.noteCharge(cost)
		return nil
	}
	err := quotas.Acquire(ctx, r.account, cost)
	var exceeded *QuotaError
	switch {
	case err == nil:
		r.noteCharge(cost)
		return nil
	case errors.As(err, &exceeded):
		r.cause = err
		return &Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuota, NotRun: true, RetryAfter: exceeded.RetryAfter}
	}
	r.cause = err
	return unavailable(ReasonNotInTime, quotaRetryAfter) // The deadline passed, or the caller left, while the request waited.
}

// noteCharge remembers what to give back if no target runs the request from now on.
func (r *relayedRequest) noteCharge(cost float64) {
	r.charged, r.chargedCost, r.chargedAt, r.chargedRuns = r.account, cost, time.Now(), r.runs
}

// spendQuota makes the cost that acquireQuota took final, since a target may have run the request.
func (r *relayedRequest) spendQuota() { r.charged = nil }

// refundQuota gives back what acquireQuota took if no target has run the request.
func (r *relayedRequest) refundQuota() {
	if r.charged != nil && r.runs == r.chargedRuns {
		r.relayer.settings.Quotas.Refund(r.charged, r.chargedCost, time.Since(r.chargedAt))
	}
	r.charged = nil
}
