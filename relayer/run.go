package relayer

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// maxSends bounds how often a request is offered to targets, whether they take it or not.
	maxSends = 4
	// spentTime is kept back from the caller's deadline for the way back.
	spentTime = 10 * time.Millisecond
	// shedRetry is when a request that targets refused should come back.
	shedRetry = 200 * time.Millisecond
	// shortestRetry is the least time after which a refused request should come back.
	shortestRetry = 100 * time.Millisecond
	// lateShare is the part of a route's objective up to which the first event of a stream may be
	// expected.
	lateShare = 1.5
)

// run is one request from its arrival to its end.
type run struct {
	relayer *Relayer
	call    *Call
	writer  http.ResponseWriter
	ctx     context.Context

	route    *cataloger.Route
	account  *cataloger.Account
	service  string
	deadline time.Time

	// sends counts the offers to targets and runs those that may have run.
	sends int
	runs  int
	tried []string
	// lastEvent is the last event of a stream that was passed on.
	lastEvent string
	// begun says that the head of an answer was passed on.
	begun bool
	abort bool
	// beginning watches the attempt until its first event; it is nil for plain services.
	beginning *beginning

	// What follows is for the log.
	result  string
	target  string
	version int64
	choice  placer.Choice
	first   time.Duration
	status  int
	cause   error
}

// verdict is how one attempt ended.
type verdict int

const (
	// answered: the caller has the whole answer.
	answered verdict = iota
	// unsent: no byte left for the target.
	unsent
	// disowned: the target says that it did not run the request.
	disowned
	// broken: the request may have run, and its answer is missing or incomplete.
	broken
	// failedThere: the target ran the request and answered that it failed.
	failedThere
	// takenBack: the request had not begun when its weights were replaced for too long.
	takenBack
	// abandoned: the caller has left or the deadline has passed.
	abandoned
)

// String names the verdict in traces.
func (v verdict) String() string {
	return [...]string{"answered", "unsent", "disowned", "broken", "failed_there", "taken_back", "abandoned"}[v]
}

func (u *run) relay() {
	if refusal := u.admit(); refusal != nil {
		u.end(refusal)
		return
	}
	u.relayer.settings.Budget.Deposit(u.service)
	ctx, cancel := context.WithDeadline(u.ctx, u.deadline)
	defer cancel()
	for {
		choice, refusal := u.choose()
		if refusal != nil {
			u.end(refusal)
			return
		}
		endSpan := u.traceAttempt(ctx, choice)
		ended, attempted := u.attempt(ctx, choice)
		endSpan(ended)
		if ended == answered {
			return
		}
		if refusal := u.next(ctx, ended, attempted); refusal != nil {
			u.end(refusal)
			return
		}
		if refusal := u.admit(); refusal != nil { // The configuration may have changed meanwhile.
			u.end(refusal)
			return
		}
	}
}

// admit decides by the newest configuration whether the request is allowed.
func (u *run) admit() *Refusal {
	settings := u.relayer.settings
	catalog := settings.Knowledge.Catalog()
	if catalog == nil {
		return elsewhere(ReasonNoConfiguration, settleTime)
	}
	contactAge := settings.Knowledge.ContactAge()
	bounds := settings.Bounds()
	stale := contactAge > bounds.Denial
	route, found := catalog.Match(u.call.Host, u.call.Path)
	if !found && stale {
		return elsewhere(ReasonNoContact, contactRetry)
	}
	if !found {
		return denied(http.StatusNotFound, ReasonNoRoute)
	}
	u.account = nil
	if catalog.Keyed() && !route.Anonymous {
		if contactAge > bounds.Key {
			return elsewhere(ReasonNoContact, contactRetry)
		}
		account, known := catalog.Account(u.call.Key)
		if !known && stale {
			return elsewhere(ReasonNoContact, contactRetry)
		}
		if !known {
			return denied(http.StatusUnauthorized, ReasonUnknownKey)
		}
		u.account = account
	}
	if limit := catalog.Limits().MaxBodyBytes; limit > 0 && len(u.call.Body) > limit {
		return denied(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	u.route = route
	u.service = route.Service(u.call.ID)
	u.deadline = u.call.Arrived.Add(route.Timeout)
	if patience := u.call.Patience; patience > 0 && patience < route.Timeout {
		u.deadline = u.call.Arrived.Add(patience)
	}
	if u.relayer.convicted(u.fingerprint()) {
		return notRun(ReasonCrashesTargets, 0)
	}
	return nil
}

// choose takes a target that can answer in time.
func (u *run) choose() (choice placer.Choice, refusal *Refusal) {
	choice, err := u.relayer.settings.Places.Choose(u.placement(), u.tried)
	var none *placer.NoTargetError
	var late *placer.NotInTimeError
	switch {
	case err == nil:
		return choice, nil
	case errors.As(err, &none):
		return placer.Choice{}, notRun(ReasonNoTarget, none.RetryAfter)
	case errors.As(err, &late):
		u.choice.Expected = late.Expected
		return placer.Choice{}, notRun(ReasonNotInTime, max(late.Expected-late.Within, shortestRetry))
	default:
		u.cause = err
		return placer.Choice{}, notRun(ReasonNoTarget, shedRetry)
	}
}

// allowance is how late the first event may be expected for the request to be sent; zero is any time.
// Beyond the objective targets would only grow their queues and make the others late too.
func (u *run) allowance() time.Duration {
	if u.route.Repeat != cataloger.RepeatStream || u.route.Objective <= 0 {
		return 0
	}
	elapsed := time.Since(u.call.Arrived)
	return max(time.Duration(lateShare*float64(u.route.Objective))-elapsed, shortestRetry)
}

// placement is what the choice of a target needs to know.
func (u *run) placement() placer.Call {
	prompt := u.call.Prompt
	return placer.Call{
		Service: u.service, Model: prompt.Model, Wall: u.wall(),
		Parts: prompt.Parts, PromptTokens: prompt.PromptTokens, OutputTokens: prompt.OutputTokens,
		Urgency: u.urgency(), Within: u.allowance(),
		Left: max(time.Until(u.deadline)-spentTime, time.Nanosecond),
	}
}

// wall separates the cache of isolated accounts.
func (u *run) wall() string {
	if u.account != nil && u.account.Isolated {
		return u.account.Name
	}
	return ""
}

// fingerprint is the same for all copies of a request.
func (u *run) fingerprint() uint64 {
	account := ""
	if u.account != nil {
		account = u.account.Name
	}
	return xxh3.HashSeed(u.call.Body, xxh3.HashString(account+" "+u.call.Method+" "+u.call.URI))
}

// next decides after an attempt that did not answer whether the request is sent again.
func (u *run) next(ctx context.Context, ended verdict, choice placer.Choice) *Refusal {
	u.tried = append(u.tried, choice.Target.ID)
	switch {
	case ctx.Err() != nil && u.runs > 0:
		return failed(http.StatusGatewayTimeout, ReasonDeadline)
	case ctx.Err() != nil:
		return notRun(ReasonNotInTime, shedRetry)
	case ended == failedThere:
		return nil // The repetition was granted when the failure was held back.
	case ended == unsent && u.sends < maxSends:
		return nil
	case ended == unsent && u.runs == 0:
		return notRun(ReasonUnreachable, shedRetry)
	case ended == disowned && u.runs == 0:
		if u.sends < maxSends && u.relayer.settings.Budget.Withdraw(u.service) {
			return nil
		}
		return notRun(ReasonShed, shedRetry)
	}
	if ended == broken {
		u.relayer.strike(u.fingerprint(), choice.Target)
	}
	mayRepeat := u.route.Repeatable() && u.runs < u.route.MaxAttempts && u.sends < maxSends
	if mayRepeat && u.relayer.settings.Budget.Withdraw(u.service) {
		return nil
	}
	if ended == takenBack {
		return failed(http.StatusBadGateway, ReasonReplacedWeights)
	}
	return failed(http.StatusBadGateway, ReasonBroken)
}

// end tells the caller how the request ended, as far as the answer that has begun still lets it.
func (u *run) end(refusal *Refusal) {
	if u.begun {
		u.abort = true
		u.result = string(refusal.Reason)
		return
	}
	if refusal.NotRun && u.runs > 0 {
		refusal = failed(http.StatusBadGateway, refusal.Reason)
	}
	u.refuse(refusal)
}

func (u *run) refuse(refusal *Refusal) {
	u.result = string(refusal.Reason)
	u.status = refusal.Status
	if u.ctx.Err() != nil {
		u.result = ResultCallerLeft
		u.abort = true
		return
	}
	u.relayer.settings.Codec.Refuse(u.writer, *refusal)
}

// report logs the request and counts it.
func (u *run) report() {
	total := time.Since(u.call.Arrived)
	outcome := Outcome{
		Result: u.result, NotRun: u.runs == 0, Attempts: u.sends, First: u.first, Total: total,
		Read: u.choice.Read, Prompt: u.call.Prompt,
	}
	var configuration int64
	if catalog := u.relayer.settings.Knowledge.Catalog(); catalog != nil {
		configuration = catalog.Version()
	}
	route := ""
	if u.route != nil {
		route, outcome.Repeat = u.route.Name, u.route.Repeat
	}
	u.relayer.settings.Observe(outcome)
	u.relayer.settings.Logger.Info("request",
		"id", u.call.ID, "result", u.result, "status", u.status, "route", route, "service", u.service,
		"target", u.target, "weights", u.version, "expected_ms", u.choice.Expected.Milliseconds(),
		"read", u.choice.Read, "ahead", u.choice.Ahead, "in_hand", u.choice.Requests,
		"prompt", firstPart(u.call.Prompt), "wall", u.wall(), "fetch_from", addressText(u.choice.FetchFrom), "save", u.choice.SaveTo.IsValid(), "sends", u.sends, "runs", u.runs,
		"first_ms", u.first.Milliseconds(), "total_ms", total.Milliseconds(),
		"configuration", configuration, "contact_age_ms", u.relayer.settings.Knowledge.ContactAge().Milliseconds(),
		"cause", errorText(u.cause))
}

// firstPart names the prompt by its first shared part.
func firstPart(prompt Prompt) string {
	if len(prompt.Parts) < 2 {
		return ""
	}
	return prompt.Parts[0].ID
}

func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (r *Relayer) convicted(fingerprint uint64) bool {
	return r.settings.Strikes != nil && r.settings.Strikes.Convicted(fingerprint)
}

func (r *Relayer) strike(fingerprint uint64, target placer.Target) {
	if r.settings.Strikes != nil {
		r.settings.Strikes.Strike(fingerprint, uint64(target.Hash()))
	}
}
