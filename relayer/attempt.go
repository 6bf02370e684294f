package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// bufferedAnswer is the largest plain answer that is read whole before it is passed on, so that a
// break can still be answered for.
const bufferedAnswer = 256 << 10

// attempt sends the request to one target and passes the answer on.
func (u *run) attempt(ctx context.Context, choice placer.Choice) (ended verdict, attempted placer.Choice) {
	defer choice.Flight.Finished()
	u.sends++
	u.target, u.version, u.choice = choice.Target.ID, choice.Version, choice
	u.beginning = nil
	if choice.Version > 0 {
		watched, beginning := watchBeginning(ctx, choice.Flight)
		defer beginning.end()
		ctx, u.beginning = watched, beginning
	}
	request := u.relayer.settings.Codec.Request(u.call, u.describe(choice))
	response, err := u.relayer.settings.Targets.Send(ctx, choice.Target.Address, request)
	if err != nil {
		return u.unanswered(ctx, choice, err), choice
	}
	defer func() { _ = response.Close() }() // It reports nothing; the body's errors count.
	answer := u.relayer.settings.Codec.Answer(response.Status, response.Header)
	u.learn(choice, answer)
	if answer.NotRun {
		u.drain(response)
		return disowned, choice
	}
	u.runs++
	u.status = response.Status
	if u.route.Repeat == cataloger.RepeatStream && response.Status == http.StatusOK {
		return u.passStream(ctx, choice, response), choice
	}
	return u.passPlain(ctx, choice, response), choice
}

func (u *run) describe(choice placer.Choice) Attempt {
	attempt := Attempt{
		Target:    choice.Target,
		Left:      time.Until(u.deadline),
		Weights:   choice.Version,
		Wall:      u.wall(),
		FetchFrom: choice.FetchFrom,
		SaveTo:    choice.SaveTo,
		Urgency:   u.urgency(),
		After:     u.call.LastEvent,
	}
	if u.lastEvent != "" {
		attempt.After = u.lastEvent
	}
	if u.account != nil {
		attempt.Account = u.account.Name
	}
	return attempt
}

// routeRanks is how many ranks of routes are told apart within one rank of accounts.
const routeRanks = 3

// urgency is the rank of the request: that of its account first, where it has one, and that of its
// route within it.
func (u *run) urgency() int {
	rank := min(u.route.Priority, routeRanks-1)
	if u.account != nil && u.account.Priority != nil {
		rank += routeRanks * *u.account.Priority
	}
	return min(rank, placer.Urgencies-1)
}

// unanswered classifies an attempt without an answer.
func (u *run) unanswered(ctx context.Context, choice placer.Choice, err error) verdict {
	u.cause = err
	var notSent *connector.UnsentError
	if errors.As(err, &notSent) {
		if ctx.Err() == nil {
			choice.Flight.Broke()
		}
		return unsent
	}
	u.runs++
	return u.cutOff(ctx, choice)
}

// cutOff classifies an attempt whose answer is missing or incomplete.
func (u *run) cutOff(ctx context.Context, choice placer.Choice) verdict {
	switch {
	case tookBack(ctx):
		u.cause = context.Cause(ctx)
		choice.Flight.Withdrawn()
		return takenBack
	case ctx.Err() != nil:
		return abandoned
	}
	choice.Flight.Broke()
	return broken
}

// learn takes over what the head of an answer says of the target.
func (u *run) learn(choice placer.Choice, answer Answer) {
	if answer.Requests >= 0 {
		choice.Flight.SawLoad(answer.Requests)
	}
	switch {
	case answer.OtherTarget:
		choice.Flight.Left()
	case answer.Weights > 0:
		choice.Flight.SawVersion(answer.Weights)
	}
	if answer.NotRun && !answer.OtherTarget && !answer.OtherWeights {
		choice.Flight.Shed()
	}
}

// started notes the first event of an attempt.
func (u *run) started(choice placer.Choice) {
	choice.Flight.Started()
	if u.beginning != nil {
		u.beginning.begun()
	}
}

// drain reads the rest of a small answer so that its connection can be used again.
func (u *run) drain(response *connector.Response) {
	if _, err := io.CopyN(io.Discard, response.Body, bufferedAnswer); err != nil && !errors.Is(err, io.EOF) {
		u.cause = err
	}
}

// passPlain passes on an answer that is no stream. A short one is read whole first.
func (u *run) passPlain(ctx context.Context, choice placer.Choice, response *connector.Response) verdict {
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, response.Body, bufferedAnswer)
	whole := errors.Is(err, io.EOF)
	if err != nil && !whole {
		return u.brokenAnswer(ctx, choice, err)
	}
	u.started(choice)
	u.first = time.Since(u.call.Arrived)
	if whole && response.Status >= http.StatusInternalServerError && u.worthRepeating() {
		return failedThere
	}
	u.begin(response)
	if _, err := u.writer.Write(buffer.Bytes()); err != nil {
		return u.callerLeft(err)
	}
	if whole {
		u.result = ResultAnswered
		return answered
	}
	if _, err := io.Copy(u.writer, response.Body); err != nil {
		return u.brokenAnswer(ctx, choice, err)
	}
	u.result = ResultAnswered
	return answered
}

// worthRepeating says whether a failure of the target may be tried again elsewhere. The failure is
// passed on where it may not.
func (u *run) worthRepeating() bool {
	return u.route.Repeatable() && u.runs < u.route.MaxAttempts && u.sends < maxSends &&
		u.relayer.settings.Budget.Withdraw(u.service)
}

func (u *run) brokenAnswer(ctx context.Context, choice placer.Choice, err error) verdict {
	u.cause = err
	return u.cutOff(ctx, choice)
}

// begin passes on the head of an answer.
func (u *run) begin(response *connector.Response) {
	u.begun = true
	header := u.writer.Header()
	for name, values := range response.Header {
		if !connector.OfConnection(name) {
			header[name] = values
		}
	}
	if _, named := header["Content-Type"]; !named {
		header["Content-Type"] = nil // The server would guess one.
	}
	header["Date"] = response.Header["Date"]
	u.writer.WriteHeader(response.Status)
}

// callerLeft ends a run whose caller takes no more.
func (u *run) callerLeft(err error) verdict {
	u.cause = err
	u.result = ResultCallerLeft
	u.abort = true
	return answered
}
