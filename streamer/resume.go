package streamer

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

// resumeStream resumes the stream of an attempt after the delivered tokens. If that is not
// possible, it returns the error with which the attempt ends.
func (r *requestState) resumeStream(ctx context.Context, a *attempt, cause error) error {
	_ = a.stream.Close()
	for resumable(ctx, cause) {
		if a.idleResumes >= r.streamer.settings.MaxResumes {
			return cause
		}
		if !r.streamer.retryBudget.tryWithdraw(resumeCost) {
			r.streamer.counters.overBudget.Add(1)
			return cause
		}
		if a.idleResumes > 0 && !waiter.Sleep(a.ctx, r.streamer.settings.ResumePause) {
			return a.effectiveError(cause)
		}
		a.idleResumes++
		a.info.Resumes++
		r.streamer.counters.resumes.Add(1)
		err := a.resume(r.delivered)
		if err == nil {
			return nil
		}
		if runIsGone(err) {
			a.info.ConnectionLost = a.info.ConnectionLost || isConnectionLost(cause)
			return err
		}
		cause = err
	}
	return a.effectiveError(cause)
}

// resume reopens the stream of the run at a position. ResumeTimeout bounds the wait for the stream,
// not the stream itself.
func (a *attempt) resume(from int) error {
	settings := a.streamer.settings
	ctx, cancel := context.WithCancelCause(a.ctx)
	timeout := &forwarder.TimeoutError{Wait: "resumed stream", After: settings.ResumeTimeout}
	timer := time.AfterFunc(settings.ResumeTimeout, func() { cancel(timeout) })
	stream, err := settings.Engines.Resume(ctx, a.target.Address, a.runID, from)
	if !timer.Stop() && err == nil {
		_ = stream.Close()
		err = timeout
	}
	if err != nil {
		cancel(err)
		return a.effectiveError(err)
	}
	head := stream.Head()
	if head.Incarnation != a.head.Incarnation || head.Weights != a.head.Weights {
		_ = stream.Close()
		cancel(nil)
		return &IdentityMismatchError{
			Target:   a.target.Name,
			Expected: Identity{Weights: a.head.Weights, Incarnation: a.head.Incarnation},
			Got:      Identity{Weights: head.Weights, Incarnation: head.Incarnation},
		}
	}
	a.stream = &resumedStream{Stream: stream, cancel: cancel}
	return nil
}

// resumedStream is a Stream that also releases the context of its connection when it is closed.
type resumedStream struct {
	Stream
	cancel context.CancelCauseFunc
}

// Close closes the stream and releases its context.
func (s *resumedStream) Close() (err error) {
	err = s.Stream.Close()
	s.cancel(nil)
	return err
}

// runIsGone reports whether the target no longer has the run.
func runIsGone(err error) bool {
	var notSent *forwarder.NotSentError
	var notFound *forwarder.NotFoundError
	var mismatch *IdentityMismatchError
	var refused *forwarder.RefusedError
	return errors.As(err, &notSent) || errors.As(err, &notFound) ||
		errors.As(err, &mismatch) || errors.As(err, &refused)
}

func isConnectionLost(err error) bool {
	var broken *forwarder.BrokenError
	return errors.As(err, &broken) && broken.ConnectionLost
}
