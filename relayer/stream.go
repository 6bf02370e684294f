package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	streamBuffer = 4 << 10
	// maxEventBytes bounds the size of an incomplete event that is buffered.
	maxEventBytes = 1 << 20
	// maxKeptBuffer is the size up to which a stream keeps its buffer for further events.
	maxKeptBuffer = 4 * streamBuffer
)

var eventEnd = []byte("\n\n")

// errBrokenOff is the cause if a stream that states no length ends before its first event or inside an event.
var errBrokenOff = fmt.Errorf("stream ended inside an event: %w", io.ErrUnexpectedEOF)

// forwardStream forwards the events of the first target that sends any, as they arrive. It forwards only complete events, so that a broken stream can
// be resumed at another target after the last forwarded one.
func (r *relayedRequest) forwardStream(ctx context.Context, choice placer.Choice, response *connector.Response) attemptResult {
	flusher := http.NewResponseController(r.writer)
	body := r.relayer.settings.Memory.Reader(response.Body)
	defer func() { _ = body.Close() }() // It returns no error.
	pending := make([]byte, 0, streamBuffer)
	chunk := make([]byte, streamBuffer)
	for {
		n, err := body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		completeBytes := completeEvents(pending, n)
		if errors.Is(err, io.EOF) && response.Delimited {
			completeBytes = len(pending)
		}
		if completeBytes > 0 {
			r.recordFirstEvent(choice)
			r.recordOrigin(choice.Target)
			if writeErr := r.forwardEvents(response, pending[:completeBytes], flusher); writeErr != nil {
				return r.abortOnWriteError(writeErr)
			}
			pending = dropForwarded(pending, completeBytes)
			body.Hold(len(pending))
		}
		switch {
		case errors.Is(err, io.EOF) && !response.Delimited && (len(pending) > 0 || r.firstEventAt.IsZero()):
			return r.classifyBodyError(ctx, choice, errBrokenOff)
		case errors.Is(err, io.EOF):
			return r.endStream(response)
		case err != nil:
			return r.classifyBodyError(ctx, choice, err)
		case len(pending) > maxEventBytes:
			return r.classifyBodyError(ctx, choice, errors.New("event of the target's stream exceeds the size limit"))
		}
	}
}

// completeEvents returns the length of the complete events in a buffer. Only the last bytes of it are new, so that an event
// without end is not searched again and again.
func completeEvents(pending []byte, newBytes int) int {
	from := max(len(pending)-newBytes-len(eventEnd)+1, 0)
	end := bytes.LastIndex(pending[from:], eventEnd)
	if end < 0 {
		return 0
	}
	return from + end + len(eventEnd)
}

// dropForwarded returns what follows the first bytes. It drops a large buffer, of which little is needed again.
func dropForwarded(pending []byte, forwarded int) []byte {
	if cap(pending) > maxKeptBuffer {
		return append(make([]byte, 0, streamBuffer), pending[forwarded:]...)
	}
	return append(pending[:0], pending[forwarded:]...)
}

// endStream finishes a stream that the target ended. It writes the head if there was no event.
func (r *relayedRequest) endStream(response *connector.Response) attemptResult {
	if !r.headWritten {
		r.writeHead(response)
	}
	r.result = ResultAnswered
	r.recordCompletion(response.Status, response.Delimited)
	return answered
}

// forwardEvents writes complete events to the caller and flushes them, with the head before the first one.
func (r *relayedRequest) forwardEvents(response *connector.Response, events []byte, flusher *http.ResponseController) error {
	if !r.headWritten {
		r.writeHead(response)
		r.timeToFirstEvent = time.Since(r.call.ArrivedAt)
	}
	for event := range splitEvents(events) {
		if id, hasID := eventID(event); hasID {
			r.lastEventID = id
		}
	}
	if _, err := r.writer.Write(events); err != nil {
		return err
	}
	return flusher.Flush()
}

// splitEvents yields the events; the last one need not be complete.
func splitEvents(events []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			end := len(events)
			if next := bytes.Index(events, eventEnd); next >= 0 {
				end = next + len(eventEnd)
			}
			if !yield(events[:end]) {
				return
			}
			events = events[end:]
		}
	}
}

// eventID returns the id of an event and whether it has one.
func eventID(event []byte) (id string, hasID bool) {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return strings.TrimSpace(string(value)), true
		}
	}
	return "", false
}
