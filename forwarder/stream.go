package forwarder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Event is one event of a stream.
type Event struct {
	// Position is the index of the event's first token in the whole output, from zero.
	Position int
	Tokens   int
	Text     string
	// Finish is the engine's finish reason. It is empty in all events but the last.
	Finish string
}

// Stream reads the output of a run event by event. It is not safe for concurrent use, but Close
// may be called from any goroutine.
type Stream struct {
	attempt  *attempt
	response *http.Response
	head     Head
	reader   *bufio.Scanner
	// memory reads what reader scans, within the budget for incomplete answers. largest is the length of the longest line,
	// which reader keeps room for.
	memory  *reserver.Reader
	largest int
	// nextTimeout bounds the wait for the next event. It is longer for the first event, which
	// comes after the prefill of the prompt.
	nextTimeout  time.Duration
	eventTimeout time.Duration
	finished     bool
}

type wireChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	RillTokens int `json:"rill_tokens"`
	Error      *struct {
		Code string `json:"code"`
	} `json:"error"`
}

const (
	doneMarker          = "[DONE]"
	initialScannerBytes = 4 << 10
)

func newStream(a *attempt, response *http.Response, head Head, settings Settings) *Stream {
	memory := settings.Memory.Reader(response.Body)
	reader := bufio.NewScanner(memory)
	reader.Buffer(make([]byte, 0, initialScannerBytes), settings.MaxEventBytes)
	return &Stream{
		attempt: a, response: response, head: head, reader: reader, memory: memory,
		nextTimeout: settings.HeaderTimeout, eventTimeout: settings.EventTimeout,
	}
}

// Head returns the metadata of the run from the response headers.
func (s *Stream) Head() Head { return s.head }

// Close closes the connection of a stream that was not read to its end. The run continues at the
// target until it is cancelled.
func (s *Stream) Close() (err error) {
	s.attempt.cancel(nil)
	return errors.Join(s.memory.Close(), s.response.Body.Close())
}

// Next waits for the next event. It returns io.EOF after the event with the finish reason, and a
// BrokenError if the response ends without one.
func (s *Stream) Next() (event Event, err error) {
	if s.finished {
		return Event{}, io.EOF
	}
	timeout := &TimeoutError{Wait: "event", After: s.nextTimeout}
	timer := time.AfterFunc(s.nextTimeout, func() { s.attempt.cancel(timeout) })
	defer timer.Stop()
	event, err = s.read()
	s.memory.Hold(s.largest)
	s.nextTimeout = s.eventTimeout
	if err != nil {
		_ = s.Close()
		return Event{}, Error.Wrap(err)
	}
	s.finished = event.Finish != ""
	if s.finished {
		s.drain()
		_ = s.memory.Close() // It returns no error.
	}
	return event, nil
}

// read parses server-sent events until one carries a chunk.
func (s *Stream) read() (event Event, err error) {
	position := -1
	for s.reader.Scan() {
		s.largest = max(s.largest, len(s.reader.Bytes()))
		name, value, _ := bytes.Cut(s.reader.Bytes(), []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "id":
			position, err = strconv.Atoi(string(value))
			if err != nil || position < 0 {
				return Event{}, s.malformed("position")
			}
		case "data":
			if string(value) == doneMarker {
				return Event{}, s.malformed("end without a finish reason")
			}
			return s.decode(position, value)
		}
	}
	cause := s.reader.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	if errors.Is(cause, bufio.ErrTooLong) {
		return Event{}, s.malformed("event over the size limit")
	}
	return Event{}, s.attempt.brokenError(cause)
}

// decode validates one chunk and returns its event.
func (s *Stream) decode(position int, data []byte) (event Event, err error) {
	var chunk wireChunk
	if json.Unmarshal(data, &chunk) != nil {
		return Event{}, s.malformed("chunk")
	}
	if chunk.Error != nil {
		cause := &FailedRunError{Code: chunk.Error.Code}
		return Event{}, &BrokenError{Target: s.attempt.target, Cause: cause, Sent: true}
	}
	if chunk.ID != s.head.RunID {
		return Event{}, s.attempt.mismatchedResponseError(s.head.RunID, chunk.ID)
	}
	if position < 0 || chunk.RillTokens < 0 || len(chunk.Choices) != 1 {
		return Event{}, s.malformed("chunk")
	}
	event = Event{Position: position, Tokens: chunk.RillTokens, Text: chunk.Choices[0].Delta.Content}
	if finish := chunk.Choices[0].FinishReason; finish != nil {
		event.Finish = *finish
	}
	return event, nil
}

func (s *Stream) malformed(part string) error {
	s.attempt.client.counters.broken.Add(1)
	return &BrokenError{Target: s.attempt.target, Cause: &MalformedError{Part: part}, Sent: true}
}

// drain reads to the end of the response, so that the connection can be reused.
func (s *Stream) drain() {
	for s.reader.Scan() {
		if bytes.HasSuffix(s.reader.Bytes(), []byte(doneMarker)) {
			break
		}
	}
	// The output is complete, so errors of the connection don't matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(s.response.Body, maxErrorBytes))
	_ = s.Close()
}
