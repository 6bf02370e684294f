package engineemulator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
)

const (
	// samplesPerLag is the approximate number of load samples kept per Settings.LoadLag.
	samplesPerLag      = 8
	maxEventsWait      = 30 * time.Second
	eventsPollInterval = 20 * time.Millisecond
)

// loadSample is the load at one point in time.
type loadSample struct {
	at            time.Time
	weights       []string
	adapters      []string
	role          string
	running       int
	waiting       int
	waitingTokens int
	cachedBlocks  int
	leaving       bool
}

// wireLoad is the response body of GET /v1/load.
type wireLoad struct {
	Incarnation         string   `json:"incarnation"`
	Progress            uint64   `json:"progress"`
	Weights             []string `json:"weights"`
	Adapters            []string `json:"adapters"`
	Role                string   `json:"role"`
	Running             int      `json:"running"`
	Waiting             int      `json:"waiting"`
	WaitingTokens       int      `json:"waiting_tokens"`
	Slots               int      `json:"slots"`
	CachedBlocks        int      `json:"cached_blocks"`
	CacheCapacityBlocks int      `json:"cache_capacity_blocks"`
	Leaving             bool     `json:"leaving"`
	MeasuredUnixMS      int64    `json:"measured_unix_ms"`
}

// recordLoad appends a load sample. It replaces the newest sample if the one before that is
// younger than LoadLag/samplesPerLag, and does nothing without a lag. The caller holds mu.
func (e *Engine) recordLoad(inc *incarnation) {
	if e.settings.LoadLag == 0 {
		return
	}
	now := time.Now()
	spacing := e.settings.LoadLag / samplesPerLag
	if n := len(inc.samples); n > 1 && now.Sub(inc.samples[n-2].at) < spacing {
		inc.samples = inc.samples[:n-1]
	}
	inc.samples = append(inc.samples, e.currentLoad(inc, now))
	for len(inc.samples) > 1 && now.Sub(inc.samples[1].at) >= e.settings.LoadLag {
		inc.samples = inc.samples[1:]
	}
}

// currentLoad returns the load at this moment. The caller holds mu.
func (e *Engine) currentLoad(inc *incarnation, now time.Time) loadSample {
	sample := loadSample{
		at:           now,
		weights:      e.weights,
		adapters:     sortedNames(e.adapters),
		role:         e.role,
		running:      len(inc.running),
		waiting:      len(inc.waiting),
		cachedBlocks: inc.cache.len(),
		leaving:      e.leaving,
	}
	for _, r := range inc.waiting {
		sample.waitingTokens += r.promptTokens
	}
	for _, r := range inc.running {
		sample.waitingTokens += r.remainingPromptTokens()
	}
	return sample
}

// laggedLoad returns the newest sample that is at least as old as Settings.LoadLag, or the
// oldest one if none is. The caller holds mu.
func (e *Engine) laggedLoad(inc *incarnation) loadSample {
	now := time.Now()
	if e.settings.LoadLag == 0 || len(inc.samples) == 0 {
		return e.currentLoad(inc, now)
	}
	cutoff := now.Add(-e.settings.LoadLag)
	found := inc.samples[0]
	for _, sample := range inc.samples {
		if sample.at.After(cutoff) {
			break
		}
		found = sample
	}
	return found
}

// handleLoad handles GET /v1/load. Only the progress counter is current; the rest lags.
func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := e.beginCall(r)
	e.mu.Lock()
	sample := e.laggedLoad(inc)
	answer := wireLoad{
		Incarnation: inc.id, Progress: inc.progress,
		Weights: sample.weights, Adapters: sample.adapters, Role: sample.role,
		Running: sample.running, Waiting: sample.waiting, WaitingTokens: sample.waitingTokens,
		Slots:        e.settings.Slots,
		CachedBlocks: sample.cachedBlocks, CacheCapacityBlocks: e.settings.CacheBlocks,
		Leaving: sample.leaving, MeasuredUnixMS: sample.at.UnixMilli(),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

// wireCacheEvents is the response body of GET /v1/cache_events.
type wireCacheEvents struct {
	Incarnation string           `json:"incarnation"`
	Events      []wireCacheEvent `json:"events"`
	Next        uint64           `json:"next"`
}

type wireCacheEvent struct {
	Seq     uint64    `json:"seq"`
	Kind    eventKind `json:"kind"`
	Account string    `json:"account"`
	Weights string    `json:"weights"`
	Block   string    `json:"block"`
	Tokens  int       `json:"tokens"`
}

// handleCacheEvents handles GET /v1/cache_events, a long poll.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := e.beginCall(r)
	query := r.URL.Query()
	// A parameter that is absent or malformed counts as zero.
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMS)*time.Millisecond, maxEventsWait)
	deadline := time.Now().Add(wait)
	for {
		answer := e.publishedEvents(inc, after)
		if len(answer.Events) > 0 || answer.Next > after || !time.Now().Before(deadline) {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		pause := time.NewTimer(min(eventsPollInterval, time.Until(deadline)))
		select {
		case <-pause.C:
		case <-inc.done:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		e.waitWhileFrozen(r, inc)
	}
}

// publishedEvents returns the events after the sequence number that are older than
// Settings.CacheEventDelay, except those that Settings.CacheEventGapOneIn drops.
func (e *Engine) publishedEvents(inc *incarnation, after uint64) wireCacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	due, next := inc.events.after(after, e.settings.CacheEventDelay)
	answer := wireCacheEvents{Incarnation: inc.id, Events: []wireCacheEvent{}, Next: next}
	for _, event := range due {
		if e.oneIn(e.settings.CacheEventGapOneIn) {
			continue
		}
		answer.Events = append(answer.Events, wireCacheEvent{
			Seq: event.seq, Kind: event.kind,
			Account: event.block.account, Weights: event.block.weights,
			Block: event.block.hash.String(), Tokens: event.block.prefixTokens,
		})
	}
	return answer
}
