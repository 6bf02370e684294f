package relayer

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/admitter"
)

// Admission decides which requests of client accounts are admitted while a service is overloaded.
type Admission interface {
	// Admit counts a request and reports whether it is admitted. If not, its caller should retry after the returned time.
	Admit(request admitter.Request) (admitted bool, retryAfter time.Duration)
	// Record records the outcome of an admitted request.
	Record(outcome admitter.Outcome)
}

// lateFraction is the fraction of the latency objective beyond which a request that waits for others began late.
const lateFraction = 0.5

// admitShare returns a refusal if the request exceeds its account's share of an overloaded service. It asks once for each
// request. The daemon that passed a request on has asked for it.
func (r *relayedRequest) admitShare() *Refusal {
	admission := r.relayer.settings.Admission
	if admission == nil || r.account == nil || r.call.Delegated || r.shareAsked {
		return nil
	}
	r.shareAsked = true
	request := r.shareRequest()
	admitted, retryAfter := admission.Admit(request)
	if !admitted {
		return unavailable(ReasonOverShare, retryAfter)
	}
	r.admitted = &request
	return nil
}

// shareRequest describes the request to Admission.
func (r *relayedRequest) shareRequest() admitter.Request {
	prompt := r.call.Prompt
	request := admitter.Request{
		Service: r.service, Account: r.account.Name, Urgency: r.urgency(), PromptTokens: prompt.PromptTokens, OutputTokens: prompt.OutputTokens,
		TimeLeft: time.Until(r.deadline), MayHaveRun: r.runs > 0 || r.call.LastEventID != "",
	}
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
		request.SharedTokens += part.Tokens
	}
	return request
}

// recordBeginning reports to Admission that an answer to the request has begun.
func (r *relayedRequest) recordBeginning() {
	result := admitter.Began
	if objective := r.route.LatencyObjective; objective > 0 && r.queuedTime() > time.Duration(lateFraction*float64(objective)) {
		result = admitter.BeganLate
	}
	r.recordShare(result)
}

// queuedTime returns how long the request is estimated to have waited for others: the time so far, or for a model call the
// part of it in which the target was expected to prefill other prompts.
func (r *relayedRequest) queuedTime() time.Duration {
	elapsed := time.Since(r.call.ArrivedAt)
	if slots := r.choice.Target.Slots; slots > 0 && r.choice.Requests >= slots {
		return elapsed
	}
	tokens := r.choice.QueuedPrefillTokens + r.choice.PrefillTokens
	if tokens == 0 {
		return 0
	}
	return time.Duration(float64(elapsed) * float64(r.choice.QueuedPrefillTokens) / float64(tokens))
}

// recordRefusal reports to Admission that the request was refused or failed for lack of capacity or time.
func (r *relayedRequest) recordRefusal(reason Reason) {
	switch reason {
	case ReasonNoTarget, ReasonEngineMemory, ReasonNotInTime, ReasonShed, ReasonDeadline:
		r.recordShare(admitter.Refused)
	}
}

// recordShare reports the outcome of an admitted request to Admission, once.
func (r *relayedRequest) recordShare(result admitter.Result) {
	if r.admitted == nil {
		return
	}
	r.relayer.settings.Admission.Record(admitter.Outcome{Request: *r.admitted, Result: result, SharedRead: r.sharedTokensToRead()})
	r.admitted = nil
}

// sharedTokensToRead returns how many tokens of the shared parts the target was expected to read.
func (r *relayedRequest) sharedTokensToRead() int {
	if len(r.call.Prompt.Parts) < 2 {
		return 0
	}
	return max(r.choice.PrefillTokens-r.call.Prompt.Parts[len(r.call.Prompt.Parts)-1].Tokens, 0)
}
