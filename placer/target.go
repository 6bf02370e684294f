package placer

import (
	"maps"
	"time"
)

const (
	// shedPause is how long a target that refused a request is left alone.
	shedPause = 150 * time.Millisecond
	// brokenPause is how long a target that broke a connection is left alone; each further one
	// doubles it up to longestBrokenPause.
	brokenPause        = 300 * time.Millisecond
	longestBrokenPause = 4 * time.Second
)

// Urgencies is the number of ranks of requests; zero is the most urgent.
const Urgencies = 10

// Unread counts tokens of prompts by the urgency of their requests.
type Unread [Urgencies]int

// total counts the tokens of all ranks.
func (u Unread) total() (tokens int) {
	for _, count := range u {
		tokens += count
	}
	return tokens
}

// ahead counts the tokens that are read before a prompt of the urgency: those that are as urgent, and
// of the others what the engine has begun with.
func (u Unread) ahead(urgency int) (tokens int) {
	behind := 0
	for other, count := range u {
		if other <= urgency {
			tokens += count
		} else {
			behind += count
		}
	}
	return tokens + min(behind, begunTokens)
}

// begunTokens bounds what an engine has begun to read of less urgent prompts.
const begunTokens = 12_000

func (w work) negative() work {
	for urgency := range w.unread {
		w.unread[urgency] = -w.unread[urgency]
	}
	w.requests, w.held = -w.requests, -w.held
	return w
}

// work is what requests still need at a target.
type work struct {
	// requests counts the requests that have not ended.
	requests int
	// unread counts prompt tokens of requests that have not given their first event, by urgency.
	unread Unread
	// held counts tokens of memory of all requests that have not ended.
	held int
}

func (w *work) add(other work) {
	w.requests += other.requests
	for urgency, tokens := range other.unread {
		w.unread[urgency] += tokens
	}
	w.held += other.held
}

// target is what is known of one incarnation.
type target struct {
	Target
	hash TargetHash
	own  work
	// peers is the work of all peers.
	peers  work
	cached *parts

	// left says that answers showed the incarnation to be gone, whatever its description says.
	left bool
	// updatingUntil is when an announced change of weights is over at the latest.
	updatingUntil time.Time
	shedUntil     time.Time
	brokenUntil   time.Time
	breaks        int
	// silentSince is the oldest send of this daemon since which it has not heard from the target.
	silentSince time.Time
	// patience is how long that send may go without an answer.
	patience time.Duration
	// reportedRequests is what the target last said of its running and waiting requests.
	reportedRequests int
	reported         time.Time
}

// reportBound is how long the target's own word on its requests counts.
const reportBound = 300 * time.Millisecond

// requests counts the requests in hand, by the daemons' word and by the target's own: it also has those
// of daemons that cannot be heard.
func (t *target) requests(load work, now time.Time) int {
	if now.Sub(t.reported) > reportBound {
		return load.requests
	}
	return max(load.requests, t.reportedRequests)
}

func newTarget(described Target) *target {
	return &target{Target: described, hash: described.Hash(), cached: newParts()}
}

// describe takes over what the target says of itself. Versions only grow: the description lags
// behind answers.
func (t *target) describe(described Target) {
	versions := maps.Clone(t.Versions)
	t.Target = described
	t.Versions = maps.Clone(described.Versions)
	if t.Versions == nil {
		t.Versions = make(map[string]int64)
	}
	for model, version := range versions {
		if version > t.Versions[model] {
			t.Versions[model] = version
		}
	}
}

func (t *target) snapshot() Target {
	copied := t.Target
	copied.Versions = maps.Clone(t.Versions)
	return copied
}

// sawVersion notes weights that an answer named.
func (t *target) sawVersion(model string, version int64) {
	if version > t.Versions[model] {
		t.Versions[model] = version
		t.cached.clear()
		t.updatingUntil = time.Time{}
	}
}

const (
	// silenceFactor and silenceMargin tell by the expected time of a request how long its target may
	// be silent before others are preferred.
	silenceFactor = 3
	silenceMargin = 300 * time.Millisecond
)

// sent notes a request to the target.
func (t *target) sent(expected time.Duration, now time.Time) {
	if t.silentSince.IsZero() {
		t.silentSince, t.patience = now, silenceFactor*expected+silenceMargin
	}
}

// heard notes an answer of the target.
func (t *target) heard() { t.silentSince = time.Time{} }

// silent says whether the target owes an answer for too long. One that has gone dark is found by the
// first request that it does not answer, in place of by all of them.
func (t *target) silent(now time.Time) bool {
	return !t.silentSince.IsZero() && now.Sub(t.silentSince) > t.patience
}

func (t *target) broke(now time.Time) {
	pause := min(brokenPause<<min(t.breaks, 4), longestBrokenPause)
	t.breaks++
	t.brokenUntil = now.Add(pause)
}
