package comparer

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemaryrill/rosemaryrill/router"
)

const (
	histogramUnit   = time.Microsecond
	histogramMax    = 10 * time.Minute
	histogramDigits = 3
)

// callState holds what has happened to a call so far.
type callState struct {
	// timed means that the call's time to first token is recorded.
	timed    bool
	answers  int
	refusals int
}

// measurement collects the figures of a run.
type measurement struct {
	warmedUp         bool
	calls            []callState
	requests         int
	ttftByClass      [2]*hdrhistogram.Histogram
	ttftAll          *hdrhistogram.Histogram
	promptTokens     int
	cachedTokens     int
	recomputedTokens int
	mixed            int
	controlBytes     int
	events           int
}

func newMeasurement(calls int) *measurement {
	m := &measurement{calls: make([]callState, calls), ttftAll: newHistogram()}
	for class := range m.ttftByClass {
		m.ttftByClass[class] = newHistogram()
	}
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
}

// endWarmUp starts the counting of recomputed tokens.
func (m *measurement) endWarmUp() { m.warmedUp = true }

// addPrompt counts the prompt tokens of a call that starts at an engine, and those of them that are cached there.
func (m *measurement) addPrompt(c *call, cachedTokens int) {
	if c.warmUp {
		return
	}
	m.promptTokens += c.promptTokens
	m.cachedTokens += cachedTokens
}

// addFirstToken records the time at which the caller receives the first token. Only the first one of a call counts.
func (m *measurement) addFirstToken(c *call, at time.Time) {
	if m.calls[c.id].timed {
		return
	}
	m.calls[c.id].timed = true
	m.recordTTFT(c, at.Sub(c.due))
}

func (m *measurement) recordTTFT(c *call, ttft time.Duration) {
	if c.warmUp {
		return
	}
	m.requests++
	value := min(int64(ttft/histogramUnit), int64(histogramMax/histogramUnit))
	// Values are within the bounds of the histogram.
	_ = m.ttftByClass[c.class].RecordValue(value)
	_ = m.ttftAll.RecordValue(value)
}

// addAnswer counts a complete answer to the call asked. It is mixed if it belongs to another call.
func (m *measurement) addAnswer(asked, answered *call) {
	m.calls[asked.id].answers++
	if asked.id != answered.id {
		m.mixed++
	}
}

// addRefusal counts a call that gets no answer. The time up to its deadline is recorded as its time to first token.
func (m *measurement) addRefusal(c *call) {
	m.calls[c.id].refusals++
	if !m.calls[c.id].timed {
		m.calls[c.id].timed = true
		m.recordTTFT(c, c.deadline.Sub(c.due))
	}
}

func (m *measurement) addControlMessages(count, size int) {
	m.events += count
	m.controlBytes += count * size
}

func (m *measurement) result(name PolicyName, duration time.Duration) Result {
	result := Result{
		Policy:           name,
		HitRate:          float64(m.cachedTokens) / float64(max(m.promptTokens, 1)),
		TTFT50:           quantile(m.ttftByClass[router.ClassInteractive], 50),
		TTFT99:           quantile(m.ttftByClass[router.ClassInteractive], 99),
		DeferrableTTFT99: quantile(m.ttftByClass[router.ClassDeferrable], 99),
		AllTTFT99:        quantile(m.ttftAll, 99),
		RecomputedTokens: m.recomputedTokens,
		Requests:         m.requests,
		Mixed:            m.mixed,
		ControlBytes:     m.controlBytes,
		Events:           m.events,
		Duration:         duration,
	}
	for _, state := range m.calls {
		switch {
		case state.refusals > 0:
			result.Refused++
		case state.answers == 0:
			result.Lost++
		}
		if state.answers > 1 || state.answers > 0 && state.refusals > 0 {
			result.Doubled++
		}
	}
	return result
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * histogramUnit
}
