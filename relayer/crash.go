package relayer

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// beginning is the time after the first event of an answer within which a crash may be caused by the beginning of that
// answer.
const beginning = 500 * time.Millisecond

// admitCauses returns a refusal if the request is likely to crash a target.
func (r *relayedRequest) admitCauses() *Refusal {
	crashes := r.relayer.settings.Crashes
	if crashes == nil {
		return nil
	}
	account := ""
	if r.account != nil {
		account = r.account.Name
	}
	r.causes = []attributor.Cause{attributor.RequestCause(account, r.call.Method, r.call.URI, r.call.Body)}
	for _, id := range sharedPartIDs(r.call.Prompt) {
		r.causes = append(r.causes, attributor.PartCause(r.call.Prompt.Model, id))
	}
	verdict := crashes.Verdict(r.causes)
	if !verdict.Refused {
		return nil
	}
	r.crashing = verdict.Cause
	return unavailable(ReasonCrashesTargets, verdict.RetryAfter)
}

// crashingName returns the id of the shared part for which the request was refused, "request" if it was refused as a
// whole, or the empty string.
func (r *relayedRequest) crashingName() string {
	switch index := slices.Index(r.causes, r.crashing); {
	case r.crashing == 0 || index < 0:
		return ""
	case index == 0:
		return "request"
	default:
		return r.call.Prompt.Parts[index-1].ID
	}
}

// recordBroken records that the connection to the target broke while it ran the request. The parts of the prompt count
// only if the target crashed at the beginning of the answer: if it closed the connection, which a host that is gone does
// not, before the first event or soon after it.
func (r *relayedRequest) recordBroken(target placer.Target) {
	if r.relayer.settings.Crashes == nil {
		return
	}
	causes := r.causes[:1]
	if closedByTarget(r.cause) && (r.firstEventAt.IsZero() || time.Since(r.firstEventAt) < beginning) {
		causes = r.causes
	}
	r.relayer.settings.Logger.Info("strike", "id", r.call.ID, "target", target.ID,
		"parts", strings.Join(sharedPartIDs(r.call.Prompt)[:len(causes)-1], " "), "begun", !r.firstEventAt.IsZero(), "cause", errorText(r.cause))
	r.relayer.settings.Crashes.RecordBroken(causes, uint64(target.Hash()), target.Address)
}

// closedByTarget reports whether the error means that the target closed the connection.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordCompletion records that the answer is complete, unless it is a failure or might have ended early.
func (r *relayedRequest) recordCompletion(status int, delimited bool) {
	if r.relayer.settings.Crashes != nil && delimited && status >= http.StatusOK && status < http.StatusMultipleChoices {
		r.relayer.settings.Crashes.RecordCompletion(r.causes)
	}
}

// sharedPartIDs returns the ids of the parts that other requests may share.
func sharedPartIDs(prompt Prompt) (ids []string) {
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}
