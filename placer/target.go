package placer

import (
	"maps"
	"time"
)

const (
	// shedPause is how long a target is avoided after it refused a request.
	shedPause = 150 * time.Millisecond
	// connectionBackoff is how long a target is avoided after a connection failure. It doubles with each
	// consecutive failure up to maxConnectionBackoff.
	connectionBackoff    = 300 * time.Millisecond
	maxConnectionBackoff = 4 * time.Second
	// foreignBackoff is how long a target is avoided after its second answer in a row that did not show that the target gave
	// it. It doubles with each further one up to maxForeignBackoff, since another program may stand at the address.
	foreignBackoff    = 10 * time.Second
	maxForeignBackoff = 5 * time.Minute
)

// Urgencies is the number of priority classes of requests; class zero is the most urgent.
const Urgencies = 10

// PendingPrefill is the number of prompt tokens that wait for prefill, by the urgency of their requests.
type PendingPrefill [Urgencies]int

// total counts the tokens of all urgencies.
func (u PendingPrefill) total() (tokens int) {
	for _, count := range u {
		tokens += count
	}
	return tokens
}

// ahead counts the tokens that are prefilled before a prompt of the urgency: those of requests that are at least as
// urgent, and up to maxStartedPrefill tokens of less urgent ones.
func (u PendingPrefill) ahead(urgency int) (tokens int) {
	lessUrgent := 0
	for other, count := range u {
		if other <= urgency {
			tokens += count
		} else {
			lessUrgent += count
		}
	}
	return tokens + min(lessUrgent, maxStartedPrefill)
}

// maxStartedPrefill bounds the tokens of less urgent prompts whose prefill an engine may have begun.
const maxStartedPrefill = 12_000

func (w work) negated() work {
	for urgency := range w.pendingPrefill {
		w.pendingPrefill[urgency] = -w.pendingPrefill[urgency]
	}
	w.requests, w.kvCacheTokens = -w.requests, -w.kvCacheTokens
	return w
}

// work is the outstanding work of requests at a target.
type work struct {
	// requests counts the requests that have not ended.
	requests int
	// pendingPrefill counts the prompt tokens of requests without a first event, by urgency.
	pendingPrefill PendingPrefill
	// kvCacheTokens counts the KV cache tokens of all requests that have not ended.
	kvCacheTokens int
}

func (w *work) add(other work) {
	w.requests += other.requests
	for urgency, tokens := range other.pendingPrefill {
		w.pendingPrefill[urgency] += tokens
	}
	w.kvCacheTokens += other.kvCacheTokens
}

// target is the known state of one incarnation.
type target struct {
	Target
	hash      TargetHash
	localWork work
	// peerWork is the work of all peers.
	peerWork work
	cached   *partCache
	// evictionToldAt is when an eviction of the target was last told by its events or by a peer.
	evictionToldAt time.Time
	use            partUse

	limit rateLimit
	speed speed

	// leavingSince is when the description first showed that the target is leaving; zero before.
	leavingSince time.Time
	// gone is set once an answer shows that the incarnation accepts no more requests, whatever Leaving reports.
	gone bool
	// upgradingUntil is the time until which the target gets no requests, because its weights are being upgraded.
	upgradingUntil time.Time
	shedUntil      time.Time
	// refusedAt is when the target last refused a request of this daemon.
	refusedAt time.Time
	// extraAt is when this daemon last sent a request beyond its part of the slots while the target was brittle.
	extraAt time.Time
	// pausedUntil is the time until which the target wants no requests of this daemon, by its own word. oddPause is set if it
	// has asked for time with a text that means none.
	pausedUntil        time.Time
	oddPause           bool
	backoffUntil       time.Time
	connectionFailures int
	// unreachableUntil is the time until which the target counts as unreachable from this daemon.
	unreachableUntil time.Time
	// foreignAnswers counts the answers in a row that did not show that the target gave them.
	foreignAnswers int
	// unansweredSince is when the answer timeout started: the time of the first request after the target's last answer.
	// It is zero if no request has been sent since that answer.
	unansweredSince time.Time
	// answerTimeout is how long after unansweredSince an answer of the target is overdue.
	answerTimeout time.Duration
	// reportedRequests is the number of running and waiting requests that the target last reported, and ownAtReport that of this
	// daemon's requests at that time.
	reportedRequests int
	ownAtReport      int
	reportedAt       time.Time
}

// maxReportAge is the age beyond which a target's report of its requests is ignored.
const maxReportAge = 300 * time.Millisecond

// requestCount returns the number of requests at the target: the larger of what the daemons count and what the target
// reports, since it may also have requests of daemons whose messages were lost. The excess over what the daemons count loses
// weight with the age of the report.
func (t *target) requestCount(load work, now time.Time) int {
	age := now.Sub(t.reportedAt)
	if age > maxReportAge {
		return load.requests
	}
	excess := t.reportedRequests + t.localWork.requests - t.ownAtReport - load.requests
	return load.requests + int(float64(max(excess, 0))*float64(maxReportAge-age)/float64(maxReportAge)+0.5)
}

// recordLoad records a report of the target's load.
func (t *target) recordLoad(report LoadReport, now time.Time) {
	t.reportedRequests, t.ownAtReport, t.reportedAt = report.Requests, t.localWork.requests, now
	t.speed.recordReport(report.WorkPercent, now)
}

func newTarget(described Target) *target {
	return &target{Target: described, hash: described.Hash(), cached: newPartCache()}
}

// applyDescription replaces the description of the target. It does not lower versions of weights, since the description
// may be older than the answers that reported them.
func (t *target) applyDescription(described Target, now time.Time) {
	if described.Leaving && t.leavingSince.IsZero() {
		t.leavingSince = now
	}
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

// recordVersion records a version of the weights that the target has loaded. If it is newer than the known one, the
// cached parts are dropped, since they belong to the older weights.
func (t *target) recordVersion(model string, version int64) {
	if version > t.Versions[model] {
		t.Versions[model] = version
		t.cached.clear()
		t.upgradingUntil = time.Time{}
	}
}

const (
	// The answer timeout is answerTimeoutFactor times the expected time to the first event of the request, plus
	// answerTimeoutMargin.
	answerTimeoutFactor = 3
	answerTimeoutMargin = 300 * time.Millisecond
)

// startAnswerTimeout starts the answer timeout unless an earlier request is still unanswered.
func (t *target) startAnswerTimeout(expected time.Duration, now time.Time) {
	if t.unansweredSince.IsZero() {
		t.unansweredSince, t.answerTimeout = now, answerTimeoutFactor*expected+answerTimeoutMargin
	}
}

// stopAnswerTimeout ends the answer timeout, because the target has answered or no request waits for its answer.
func (t *target) stopAnswerTimeout() { t.unansweredSince = time.Time{} }

// answerOverdue reports whether the target has exceeded its answer timeout. One unanswered request is enough to avoid a
// target that has stopped answering.
func (t *target) answerOverdue(now time.Time) bool {
	return !t.unansweredSince.IsZero() && now.Sub(t.unansweredSince) > t.answerTimeout
}

// recordForeignAnswer records an answer that does not show that the target gave it.
func (t *target) recordForeignAnswer(now time.Time) {
	t.foreignAnswers++
	if t.foreignAnswers == 1 {
		t.recordConnectionFailure(now)
		return
	}
	t.backoffUntil = now.Add(min(foreignBackoff<<min(t.foreignAnswers-2, 5), maxForeignBackoff))
}

func (t *target) recordConnectionFailure(now time.Time) {
	backoff := min(connectionBackoff<<min(t.connectionFailures, 4), maxConnectionBackoff)
	t.connectionFailures++
	t.backoffUntil = now.Add(backoff)
}
