package streamer

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// Attempt is one run of a request at a target.
type Attempt struct {
	Target string
	// RunID identifies the run at the target.
	RunID string
	// Sent reports whether any byte of the call may have been sent to the target.
	Sent bool
	// Refused reports whether the target answered that it did not run the call.
	Refused bool
	Started time.Time
	// FirstToken is the time from the start to the first event, or zero without one.
	FirstToken   time.Duration
	CachedTokens int
	PromptTokens int
	Incarnation  string
	Weights      string
	// Delivered counts the tokens that reached the sink.
	Delivered int
	Resumes   int
	// Hedge reports whether the attempt was made because the first token of another was late.
	Hedge bool
	// ConnectionLost reports whether the connection broke after the call was sent, as happens
	// when the target crashes.
	ConnectionLost bool
	// Running reports whether the attempt has not ended yet.
	Running bool
	// Err is the error that ended the attempt early, or nil.
	Err error
}

// MayHaveRun reports whether the target may have run the call.
func (a Attempt) MayHaveRun() bool { return a.Sent && !a.Refused }

// Outcome is the result of a request, complete or not.
type Outcome struct {
	Attempts []Attempt
	// Delivered counts the tokens that reached the sink.
	Delivered int
	// Finish is the engine's finish reason, or empty if the answer is incomplete.
	Finish string
	// Duplicates counts events that were dropped because their tokens had been delivered. Gaps
	// counts events that did not start at the next position.
	Duplicates int
	Gaps       int
	// CrashSuspects are the targets whose connection broke while they may have run the call.
	CrashSuspects []string
}

// MayHaveRun reports whether any target may have run the request.
func (o Outcome) MayHaveRun() bool {
	for _, attempt := range o.Attempts {
		if attempt.MayHaveRun() {
			return true
		}
	}
	return false
}

type counters struct {
	requests            atomic.Uint64
	incomplete          atomic.Uint64
	attempts            atomic.Uint64
	resumes             atomic.Uint64
	continued           atomic.Uint64
	hedges              atomic.Uint64
	hedgesWon           atomic.Uint64
	duplicates          atomic.Uint64
	gaps                atomic.Uint64
	mismatchedResponses atomic.Uint64
	identityMismatches  atomic.Uint64
	overBudget          atomic.Uint64
}

// Counters are the totals of a Streamer since its start.
type Counters struct {
	Requests   uint64
	Incomplete uint64
	Attempts   uint64
	Resumes    uint64
	// Continued counts attempts that continued an answer from its delivered tokens.
	Continued  uint64
	Hedges     uint64
	HedgesWon  uint64
	Duplicates uint64
	Gaps       uint64
	// MismatchedResponses counts attempts that ended with a forwarder.MismatchedResponseError, because they
	// received the answer to another request. IdentityMismatches counts answers from other weights or
	// another incarnation than expected.
	MismatchedResponses uint64
	IdentityMismatches  uint64
	// OverBudget counts the retries, hedges and resumes that the retry budget did not allow.
	OverBudget uint64
}

// Counters returns the current totals.
func (s *Streamer) Counters() Counters {
	c := &s.counters
	return Counters{
		Requests: c.requests.Load(), Incomplete: c.incomplete.Load(), Attempts: c.attempts.Load(),
		Resumes: c.resumes.Load(), Continued: c.continued.Load(),
		Hedges: c.hedges.Load(), HedgesWon: c.hedgesWon.Load(),
		Duplicates: c.duplicates.Load(), Gaps: c.gaps.Load(),
		MismatchedResponses: c.mismatchedResponses.Load(), IdentityMismatches: c.identityMismatches.Load(), OverBudget: c.overBudget.Load(),
	}
}

// recordError stores the error and derives Sent, Refused and ConnectionLost from it. If the
// incarnation is known, the target had already answered, so that a NotSentError or RefusedError
// comes from a resume and changes neither Sent nor Refused.
func (a *Attempt) recordError(err error) {
	a.Err = err
	var notSent *forwarder.NotSentError
	var refused *forwarder.RefusedError
	var broken *forwarder.BrokenError
	switch {
	case errors.As(err, &notSent):
		a.Sent = a.Sent && a.Incarnation != ""
	case errors.As(err, &refused):
		a.Refused = a.Incarnation == ""
	case errors.As(err, &broken):
		a.ConnectionLost = a.ConnectionLost || broken.ConnectionLost
	}
}

func (r *requestState) outcome() Outcome {
	outcome := Outcome{
		Delivered: r.delivered, Finish: r.finish, Duplicates: r.duplicates, Gaps: r.gaps,
	}
	for _, a := range r.attempts {
		outcome.Attempts = append(outcome.Attempts, a.info)
		if a.info.ConnectionLost && a.info.MayHaveRun() {
			outcome.CrashSuspects = append(outcome.CrashSuspects, a.info.Target)
		}
	}
	return outcome
}

// previousAttempts returns copies of the attempts for the chooser.
func (r *requestState) previousAttempts() []Attempt {
	previous := make([]Attempt, 0, len(r.attempts))
	for _, a := range r.attempts {
		previous = append(previous, a.info)
	}
	return previous
}
