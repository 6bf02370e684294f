package relayer_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

// quotaLog is a quota that notes its calls, with the amounts.
type quotaLog struct {
	calls   []string
	amounts []float64
	refuses bool
}

func (q *quotaLog) note(call string, amount float64) {
	q.calls = append(q.calls, call)
	q.amounts = append(q.amounts, amount)
}

func (q *quotaLog) Acquire(_ context.Context, account *cataloger.Account, amount float64) error {
	q.note("acquire", amount)
	if q.refuses {
		return &relayer.QuotaError{Account: account.Name, RetryAfter: 700 * time.Millisecond}
	}
	return nil
}

func (q *quotaLog) Charge(_ *cataloger.Account, amount float64) { q.note("charge", amount) }
func (q *quotaLog) Refund(_ *cataloger.Account, amount float64, _ time.Duration) {
	q.note("refund", amount)
}

// newQuotaHarness returns a harness whose account has a quota in tokens.
func newQuotaHarness(behaviours ...targetBehaviour) (*harness, *quotaLog) {
	h, quotas := newHarness(behaviours...), &quotaLog{}
	h.quotas = quotas
	h.prompt = relayer.Prompt{PromptTokens: 1460, MaxOutputTokens: 80, TokensCounted: true}
	h.limit(cataloger.Quota{RatePerSecond: 100, Burst: 100, Unit: cataloger.UnitTokens, DefaultTokens: 200})
	return h, quotas
}

func (h *harness) limit(quota cataloger.Quota) {
	h.catalog = cataloger.New(1, cataloger.Declarations{
		Routes: routes(), Accounts: []cataloger.Account{{Name: "account", Keys: []string{key}, Quota: quota}},
	})
}

// Guards against attempts that run without being counted, and against requests that are counted although no target ran them.
func TestQuotaCountsTheAttemptsThatRun(t *testing.T) {
	for name, c := range map[string]struct {
		path       string
		behaviours []targetBehaviour
		delegated  *delegated
		want       []string
	}{
		"answered":                    {"/once/", []targetBehaviour{good}, nil, []string{"acquire"}},
		"rejected, then answered":     {"/once/", []targetBehaviour{shed, good}, nil, []string{"acquire"}},
		"rejected everywhere":         {"/once/", []targetBehaviour{shed}, nil, []string{"acquire", "refund"}},
		"not reached":                 {"/once/", []targetBehaviour{unsent}, nil, []string{"acquire", "refund"}},
		"passed on to another daemon": {"/once/", []targetBehaviour{unsent}, &delegated{body: "done"}, []string{"acquire", "refund"}},
		"broken, may run once":        {"/once/", []targetBehaviour{broken}, nil, []string{"acquire"}},
		"broken, then answered":       {"/often/", []targetBehaviour{broken, good}, nil, []string{"acquire", "charge"}},
		"broken, then rejected":       {"/often/", []targetBehaviour{broken, shed}, nil, []string{"acquire", "charge", "refund"}},
	} {
		h, quotas := newQuotaHarness(c.behaviours...)
		h.delegated = c.delegated
		relayOnce(t, h, c.path)
		if !slices.Equal(quotas.calls, c.want) {
			t.Errorf("%s: the quota was called with %v, want %v", name, quotas.calls, c.want)
		}
		if len(quotas.amounts) > 0 && quotas.amounts[0] != 1540 {
			t.Errorf("%s: counted %v, want 1540 tokens", name, quotas.amounts)
		}
	}
}

// Guards against requests beyond the quota that reach a target, or are refused without a time.
func TestRequestBeyondTheQuotaIsRefused(t *testing.T) {
	h, quotas := newQuotaHarness(good)
	quotas.refuses = true
	seen := relayOnce(t, h, "/stream/")
	if seen.status != http.StatusTooManyRequests || !seen.notRun || seen.reason != string(relayer.ReasonQuota) || len(h.attemptTargets) > 0 {
		t.Errorf("%+v after %d attempts", seen, len(h.attemptTargets))
	}
	if after := h.response.Header().Get("Retry-After"); after != "700ms" {
		t.Errorf("retry after %s", after)
	}
}

// Guards against counting for accounts without a quota, and against other amounts than the configuration says.
func TestQuotaAmounts(t *testing.T) {
	uncounted := relayer.Prompt{PromptTokens: 1000}
	for name, c := range map[string]struct {
		quota  cataloger.Quota
		prompt relayer.Prompt
		want   []float64
	}{
		"no quota":           {cataloger.Quota{}, uncounted, nil},
		"requests":           {cataloger.Quota{RatePerSecond: 1}, uncounted, []float64{1}},
		"tokens not counted": {cataloger.Quota{RatePerSecond: 1, Unit: cataloger.UnitTokens, DefaultTokens: 200}, uncounted, []float64{200}},
	} {
		h, quotas := newQuotaHarness(good)
		h.prompt = c.prompt
		h.limit(c.quota)
		relayOnce(t, h, "/once/")
		if !slices.Equal(quotas.amounts, c.want) {
			t.Errorf("%s: counted %v, want %v", name, quotas.amounts, c.want)
		}
	}
}

// Guards against a charge for each look for a target while a broken stream waits for one.
func TestWaitingStreamIsChargedOnce(t *testing.T) {
	h, quotas := newQuotaHarness()
	h.behaviours = []targetBehaviour{{status: http.StatusOK, contentType: "text/event-stream", body: "id: 1\ndata: a\n\n", truncated: true, before: func() { h.placer.SetTargets(nil) }}}
	if h.relay(t.Context(), "/slow/"); !slices.Equal(quotas.calls, []string{"acquire", "charge", "refund"}) {
		t.Errorf("the quota was called with %v", quotas.calls)
	}
}
