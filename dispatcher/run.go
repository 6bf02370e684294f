package dispatcher

import (
	"crypto/rand"
	"sync"
	"time"
)

// platformRetryAfter is the RetryAfter of refusals with CodePlatformUnavailable.
const platformRetryAfter = 5 * time.Second

// phase is the progress of a run.
type phase int

const (
	// phaseWaiting means that no byte of the call has been sent, or that each target that received
	// it reported that it did not run it.
	phaseWaiting phase = iota
	// phaseSending means that the call was passed to the Sender.
	phaseSending
	// phaseAbandoned means that the call will never be passed to the Sender.
	phaseAbandoned
	// phaseDone means that the result is known.
	phaseDone
)

// run is the execution of one call by this daemon. It alone decides whether the call may still be
// sent and whether it may be reported as not run.
type run struct {
	id     IntentID
	call   Call
	digest string
	done   chan struct{}

	mu    sync.Mutex
	phase phase
	// otherMayHaveRun reports whether another intent may be stored under the key, whose call may
	// have run.
	otherMayHaveRun bool
	answer          Answer
	state           State
	refusal         *RefusedError
}

func newRun(key string, call Call) *run {
	return &run{
		id:     IntentID{Key: key, Nonce: rand.Text()},
		call:   call,
		digest: call.requestDigest(),
		done:   make(chan struct{}),
		state:  StateRunning,
	}
}

// releaseMemory gives back the memory for the call's body.
func (r *run) releaseMemory() {
	if r.call.Memory != nil {
		r.call.Memory.Release()
	}
}

// beginSend changes the phase from waiting to sending, unless the run was abandoned or notAfter
// has passed. The clock is read under the lock, so that a daemon that was paused after writing
// its intent detects here that it is too late to send.
func (r *run) beginSend(notAfter time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase != phaseWaiting || !time.Now().Before(notAfter) {
		return false
	}
	r.phase = phaseSending
	return true
}

// returnToWaiting changes the phase back to waiting after a target did not run the call.
func (r *run) returnToWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phaseWaiting
}

// abandon prevents the call from ever being sent. It reports false if the call may have run.
func (r *run) abandon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == phaseAbandoned {
		return !r.otherMayHaveRun
	}
	if r.phase != phaseWaiting || r.otherMayHaveRun {
		return false
	}
	r.phase = phaseAbandoned
	r.setResultLocked(StateNotRun, Answer{}, refuse(CodeDeadline, NotRun, nil))
	return true
}

// setOtherMayHaveRun records whether the call of another intent under the key may have run.
func (r *run) setOtherMayHaveRun(mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.otherMayHaveRun = mayHaveRun
}

// finish sets the result of the run, unless it already has one.
func (r *run) finish(state State, answer Answer, refusal *RefusedError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == phaseAbandoned || r.phase == phaseDone {
		return
	}
	r.phase = phaseDone
	r.setResultLocked(state, answer, refusal)
}

// setResultLocked sets the result and closes done. The caller holds the lock.
func (r *run) setResultLocked(state State, answer Answer, refusal *RefusedError) {
	r.state = state
	r.answer = answer
	r.refusal = refusal
	close(r.done)
}

// result returns the answer or the refusal for a caller after the run is done. An answer to
// anyone but the owner is marked as repeated.
func (r *run) result(owner bool) (answer Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusal != nil {
		return Answer{}, r.refusal
	}
	answer = r.answer
	answer.Repeated = answer.Repeated || !owner
	return answer, nil
}

// outcome returns the answer and the state for a peer.
func (r *run) outcome() (answer Answer, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer, r.state
}

// isDone reports whether the run has a result.
func (r *run) isDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase == phaseAbandoned || r.phase == phaseDone
}

// unclaimedRefusal returns the refusal of a run whose intent is not known to be stored. If another
// call under the key may have run, the refusal is MayHaveRun, since the run may be a repeat of that
// call.
func (r *run) unclaimedRefusal(cause error) *RefusedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.otherMayHaveRun {
		return refuse(CodeOutcomeUnknown, MayHaveRun, cause)
	}
	return &RefusedError{
		Code:       CodePlatformUnavailable,
		Run:        NotRun,
		RetryAfter: platformRetryAfter,
		Cause:      cause,
	}
}
