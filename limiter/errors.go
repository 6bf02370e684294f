package limiter

import (
	"fmt"
	"time"
)

// LimitError means that an account exceeds its limits. The call has not run.
type LimitError struct {
	Account string
	// RetryAfter is the time after which the account is expected to be within its limits again.
	RetryAfter time.Duration
}

// Error names the account and the retry delay.
func (e *LimitError) Error() string {
	return fmt.Sprintf("account %s exceeds its limits; call not run, retry after %s", e.Account, e.RetryAfter)
}

// ShedError means that the call was shed from a full queue. The call has not run.
type ShedError struct {
	Account string
	Class   Class
	Queued  int
}

// Error names the account and the length of the queue.
func (e *ShedError) Error() string {
	return fmt.Sprintf("call of account %s was shed from a full queue with %d calls waiting; call not run", e.Account, e.Queued)
}

// DeadlineError means that the deadline passed before the call could start. The call has not
// run.
type DeadlineError struct {
	Account  string
	Deadline time.Time
	Waited   time.Duration
}

// Error names the account and the time in the queue.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("deadline of a call of account %s passed after it waited %s in the queue; call not run", e.Account, e.Waited)
}
