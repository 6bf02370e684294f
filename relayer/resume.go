package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

var (
	errOtherAnswer = errors.New("the answer to the resumption of the stream is no stream of its kind")
	errForeignText = errors.New("the resumed stream contains what is not one of its events")
	errNoNewEvent  = errors.New("the resumed stream ended without a new event")
)

// resumeStream forwards the new events of an answer to the resumption of a stream. Nothing else of the answer reaches the
// caller, who has the head of another answer and some of its events. An answer without a new event does not show that the
// stream was complete, since a target that lost the request ends likewise.
func (r *relayedRequest) resumeStream(ctx context.Context, choice placer.Choice, response *connector.Response, answer Answer) attemptResult {
	if !r.isSameStream(response, answer) {
		r.cause = fmt.Errorf("%w: status %d", errOtherAnswer, response.Status)
		return notResumed
	}
	flusher := http.NewResponseController(r.writer)
	body := r.relayer.settings.Memory.Reader(response.Body)
	defer func() { _ = body.Close() }() // It returns no error.
	pending, chunk, resumed := make([]byte, 0, streamBuffer), make([]byte, streamBuffer), false
	for {
		n, readErr := body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		complete := completeEvents(pending, n)
		events, foreign := r.newEvents(pending[:complete])
		pending = dropForwarded(pending, complete)
		body.Hold(len(pending))
		if len(events) > 0 {
			resumed = true
			r.recordFirstEvent(choice)
			if err := r.forwardEvents(response, events, flusher); err != nil {
				return r.abortOnWriteError(err)
			}
		}
		switch {
		case foreign != nil:
			r.cause = foreign
			return notResumed
		case errors.Is(readErr, io.EOF):
			return r.endResumedStream(ctx, choice, response, pending, resumed)
		case readErr != nil:
			return r.classifyBodyError(ctx, choice, readErr)
		case len(pending) > maxEventBytes:
			return r.classifyBodyError(ctx, choice, errors.New("event of the target's stream exceeds the size limit"))
		}
	}
}

// endResumedStream finishes a resumed stream that the target ended. left is what follows the last event.
func (r *relayedRequest) endResumedStream(ctx context.Context, choice placer.Choice, response *connector.Response, left []byte, resumed bool) attemptResult {
	switch {
	case len(bytes.TrimSpace(left)) > 0 && !response.Delimited:
		return r.classifyBodyError(ctx, choice, errBrokenOff)
	case len(bytes.TrimSpace(left)) > 0:
		r.cause = errForeignText
	case !resumed:
		r.cause = errNoNewEvent
	default:
		return r.endStream(response)
	}
	return notResumed
}

// isSameStream reports whether an answer can be the rest of the stream whose head was forwarded.
func (r *relayedRequest) isSameStream(response *connector.Response, answer Answer) bool {
	return r.route.CallKind == cataloger.CallStream && response.Status == http.StatusOK && (answer.Sealed || !r.sealed) &&
		mediaType(response.Header) == mediaType(r.head) && response.Header.Get("Content-Encoding") == r.head.Get("Content-Encoding")
}

func mediaType(header http.Header) string {
	text := header.Get("Content-Type")
	if name, _, err := mime.ParseMediaType(text); err == nil {
		return name
	}
	return text
}

// newEvents returns the events that the caller does not have, since a target may repeat some when it resumes a stream. It
// leaves out comments, and stops with an error at what is not an event of the stream.
func (r *relayedRequest) newEvents(events []byte) (news []byte, err error) {
	last := r.lastEventID
	for event := range splitEvents(events) {
		id, hasID := eventID(event)
		switch {
		case !hasID && isComment(event):
			continue
		case !hasID || isNumber(id) != isNumber(last):
			return news, errForeignText
		case !isLater(id, last):
			continue
		}
		last = id
		news = append(news, event...)
	}
	return news, nil
}

// isComment reports whether an event has nothing but comments and blank lines.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimSpace(line); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// isLater reports whether an event id is greater than another one or, if they are not numbers, another one.
func isLater(id, other string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(other, 10, 64)
	if errA != nil || errB != nil {
		return id != other
	}
	return a > b
}
