package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	streamBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var eventEnd = []byte("\n\n")

// passStream passes events on as they arrive, and only whole ones, so that a stream that breaks can
// go on elsewhere after the last one.
func (u *run) passStream(ctx context.Context, choice placer.Choice, response *connector.Response) verdict {
	flusher := http.NewResponseController(u.writer)
	pending := make([]byte, 0, streamBuffer)
	chunk := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		whole := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole >= len(eventEnd) {
			u.started(choice)
			if writeErr := u.passEvents(response, pending[:whole], flusher); writeErr != nil {
				return u.callerLeft(writeErr)
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return u.endStream(response)
		case err != nil:
			return u.brokenAnswer(ctx, choice, err)
		case len(pending) > maxEventBytes:
			return u.brokenAnswer(ctx, choice, errors.New("an event is too long"))
		}
	}
}

// endStream ends a stream that the target ended.
func (u *run) endStream(response *connector.Response) verdict {
	if !u.begun {
		u.begin(response)
	}
	u.result = ResultAnswered
	return answered
}

func (u *run) passEvents(response *connector.Response, events []byte, flusher *http.ResponseController) error {
	if !u.begun {
		u.begin(response)
		u.first = time.Since(u.call.Arrived)
	}
	events = u.unseen(events)
	if len(events) == 0 {
		return nil
	}
	if _, err := u.writer.Write(events); err != nil {
		return err
	}
	return flusher.Flush()
}

// unseen drops events that the caller has already and notes the last one.
func (u *run) unseen(events []byte) []byte {
	from := 0
	for start := 0; start < len(events); {
		end := len(events)
		if next := bytes.Index(events[start:], eventEnd); next >= 0 {
			end = start + next + len(eventEnd)
		}
		id, named := eventID(events[start:end])
		switch {
		case named && u.lastEvent != "" && !later(id, u.lastEvent):
			from = end
		case named:
			u.lastEvent = id
		}
		start = end
	}
	return events[from:]
}

// eventID returns the id of an event.
func eventID(event []byte) (id string, named bool) {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return strings.TrimSpace(string(value)), true
		}
	}
	return "", false
}

func later(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	return errA != nil || errB != nil || a > b
}
