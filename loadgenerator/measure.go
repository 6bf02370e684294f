package loadgenerator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemaryrill/rosemaryrill/checker"
)

const (
	histogramUnit   = time.Microsecond
	histogramMax    = 10 * time.Minute
	histogramDigits = 3
	unnamedCode     = "unnamed"
)

// Times contains the number of measured times, their quantiles and their maximum.
type Times struct {
	Count         int64
	P50, P90, P99 time.Duration
	Max           time.Duration
}

// Result contains the measurements of a run.
type Result struct {
	Counts checker.Counts
	// Codes counts the refusals by error code.
	Codes map[string]int
	// FirstToken and Total are the times from the due time of a request to the first token and to the end of the
	// answer.
	FirstToken Times
	// BetweenTokens is the time between consecutive events of a stream that carry text.
	BetweenTokens Times
	Total         Times
	// StartDelay is the delay from the due time of a request to its start. It is caused by the load generator itself and is
	// included in FirstToken and Total.
	StartDelay Times
	// PromptTokens and CachedTokens are the sums of the prompt tokens and of the cached prompt tokens that the engines
	// reported.
	PromptTokens int
	CachedTokens int
}

// Histogram collects times with a precision of three significant digits. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)}
}

// Add records a time. A time outside the range of the histogram is recorded as the nearest time within it.
func (h *Histogram) Add(value time.Duration) {
	value = max(histogramUnit, min(value, histogramMax))
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(int64(value / histogramUnit))
}

// Times returns the quantiles of the times recorded so far.
func (h *Histogram) Times() Times {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(percent float64) time.Duration {
		return time.Duration(h.values.ValueAtQuantile(percent)) * histogramUnit
	}
	return Times{Count: h.values.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: at(100)}
}

// measurement collects the results of a run.
type measurement struct {
	tally         checker.Tally
	firstToken    *Histogram
	betweenTokens *Histogram
	total         *Histogram
	startDelay    *Histogram

	mu           sync.Mutex
	codes        map[string]int
	promptTokens int
	cachedTokens int
}

func newMeasurement() *measurement {
	return &measurement{
		firstToken:    NewHistogram(),
		betweenTokens: NewHistogram(),
		total:         NewHistogram(),
		startDelay:    NewHistogram(),
		codes:         make(map[string]int),
	}
}

// add records the answer to a request that was started with the given delay after its due time.
func (m *measurement) add(answer checker.Result, startDelay time.Duration) {
	m.tally.Add(answer)
	m.startDelay.Add(startDelay)
	m.total.Add(answer.Total + startDelay)
	if answer.Verdict == checker.Complete && answer.FirstToken > 0 {
		m.firstToken.Add(answer.FirstToken + startDelay)
	}
	for _, gap := range answer.Gaps {
		m.betweenTokens.Add(gap)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.promptTokens += answer.PromptTokens
	m.cachedTokens += answer.CachedTokens
	if answer.Verdict == checker.Refused {
		m.codes[cmp.Or(answer.Code, unnamedCode)]++
	}
}

func (m *measurement) result() Result {
	return Result{
		Counts:        m.tally.Counts(),
		Codes:         m.codes,
		FirstToken:    m.firstToken.Times(),
		BetweenTokens: m.betweenTokens.Times(),
		Total:         m.total.Times(),
		StartDelay:    m.startDelay.Times(),
		PromptTokens:  m.promptTokens,
		CachedTokens:  m.cachedTokens,
	}
}

type wireRuns struct {
	Keys map[string]int `json:"keys"`
}

// countDoubledOrders queries the service for how often it executed each order of this run, and counts each execution after the
// first as a doubled order.
func (r *run) countDoubledOrders(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.settings.ServiceURL+"/admin/runs", nil)
	if err != nil {
		return err
	}
	response, err := r.settings.Client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("service returned status %d for its execution counts", response.StatusCode)
	}
	var runs wireRuns
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return err
	}
	for key, count := range runs.Keys {
		if strings.Contains(key, r.id) && count > 1 {
			r.measurement.tally.AddDoubled(count - 1)
		}
	}
	return nil
}
