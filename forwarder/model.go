package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rosemaryrill/rosemaryrill/encoder"
)

// Headers of requests and responses.
const (
	headerRequestID      = "Rill-Request-Id"
	headerAccount        = "Rill-Account"
	headerWeights        = "Rill-Weights"
	headerAdapter        = "Rill-Adapter"
	headerPriority       = "Rill-Priority"
	headerDeadline       = "Rill-Deadline-Unix-Ms"
	headerIncarnation    = "Rill-Incarnation"
	headerCachedTokens   = "Rill-Cached-Tokens"
	headerPromptTokens   = "Rill-Prompt-Tokens"
	headerNotRun         = "Rill-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"

	maxErrorBytes = 64 << 10
)

// Message is one message of a conversation.
type Message struct {
	Role    string
	Content string
}

// Continuation is the part of the output that the caller already has.
type Continuation struct {
	Text   string
	Tokens int
}

// ModelCall is one run of a model.
type ModelCall struct {
	// RunID identifies the run; the response must echo it.
	RunID     string
	Account   string
	Model     string
	Weights   string
	Adapter   string
	Messages  []Message
	MaxTokens int
	// Options is a non-empty JSON object of further fields for the engine, or "".
	Options  string
	Priority int
	// Deadline is passed on to the engine; zero means none.
	Deadline time.Time
	// Continue is set if the run continues after tokens that were already delivered.
	Continue Continuation
}

// Head contains the metadata of a run that an engine returns in its response headers.
type Head struct {
	RunID        string
	Incarnation  string
	Weights      string
	CachedTokens int
	PromptTokens int
}

type wireChat struct {
	Model        string            `json:"model"`
	Messages     []wireMessage     `json:"messages"`
	MaxTokens    int               `json:"max_tokens,omitempty"`
	Stream       bool              `json:"stream"`
	ContinueFrom *wireContinuation `json:"continue_from,omitempty"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireContinuation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type wireRefusal struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// Generate starts a run and returns its stream once the response headers have arrived.
func (c *Client) Generate(ctx context.Context, target netip.AddrPort, call ModelCall) (stream *Stream, err error) {
	defer Error.WrapP(&err)
	body, err := encodeChat(call)
	if err != nil {
		return nil, &NotSentError{Target: target, Cause: err}
	}
	a, err := c.newAttempt(ctx, target, http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	setModelHeaders(a.request.Header, call)
	return c.openStream(a, call.RunID)
}

// Resume reads the output of a run again, starting at the token with the index from. It returns a
// NotFoundError if the target no longer has the run.
func (c *Client) Resume(ctx context.Context, target netip.AddrPort, runID string, from int) (stream *Stream, err error) {
	defer Error.WrapP(&err)
	path := "/v1/streams/" + url.PathEscape(runID) + "?from=" + strconv.Itoa(from)
	a, err := c.newAttempt(ctx, target, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return c.openStream(a, runID)
}

// Cancel ends a run and returns once the target has confirmed it. It also
// succeeds if the target does not have the run.
func (c *Client) Cancel(ctx context.Context, target netip.AddrPort, runID string) (err error) {
	defer Error.WrapP(&err)
	err = c.control(ctx, target, controlCall{method: http.MethodDelete, path: "/v1/streams/" + url.PathEscape(runID), singleUse: true}, nil)
	if isStatus(err, http.StatusNotFound) {
		return nil
	}
	return err
}

func encodeChat(call ModelCall) ([]byte, error) {
	wire := wireChat{Model: call.Model, MaxTokens: call.MaxTokens, Stream: true}
	for _, message := range call.Messages {
		wire.Messages = append(wire.Messages, wireMessage(message))
	}
	if call.Continue.Tokens > 0 {
		wire.ContinueFrom = &wireContinuation{Text: call.Continue.Text, Tokens: call.Continue.Tokens}
	}
	encoded, err := encoder.JSON(wire)
	if err != nil || call.Options == "" {
		return encoded, err
	}
	// Both are non-empty JSON objects: the fields of the second are appended to the first.
	joined := append(encoded[:len(encoded)-1], ',')
	return append(joined, call.Options[1:]...), nil
}

func setModelHeaders(header http.Header, call ModelCall) {
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(headerRequestID, call.RunID)
	header.Set(headerAccount, call.Account)
	header.Set(headerWeights, call.Weights)
	header.Set(headerPriority, strconv.Itoa(call.Priority))
	if call.Adapter != "" {
		header.Set(headerAdapter, call.Adapter)
	}
	if !call.Deadline.IsZero() {
		header.Set(headerDeadline, strconv.FormatInt(call.Deadline.UnixMilli(), 10))
	}
}

// openStream sends a request for a stream and checks the response status and the run ID.
func (c *Client) openStream(a *attempt, runID string) (stream *Stream, err error) {
	response, err := a.do(c.sharedTransport, c.settings.HeaderTimeout)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer a.cancel(nil)
		defer func() { _ = response.Body.Close() }()
		return nil, a.errorForStatus(response, runID)
	}
	if got := response.Header.Get(headerRequestID); got != runID {
		a.cancel(nil)
		_ = response.Body.Close()
		return nil, a.mismatchedResponseError(runID, got)
	}
	return newStream(a, response, parseHead(response.Header), c.settings), nil
}

// errorForStatus converts a response with another status than 200 to an error.
func (a *attempt) errorForStatus(response *http.Response, runID string) error {
	code := readErrorCode(response)
	// An answer to a request for a stream names no run, but if it is a late copy, nothing worse follows than a continuation.
	if a.request.Method == http.MethodPost || response.StatusCode != http.StatusNotFound {
		if err := a.identityError(response, runID); err != nil {
			return err
		}
	}
	switch response.StatusCode {
	case http.StatusNotFound:
		return &NotFoundError{Target: a.target, Name: runID}
	case http.StatusBadRequest, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.refusedError(response.StatusCode, code)
	}
	a.client.counters.broken.Add(1)
	cause := &StatusError{Status: response.StatusCode, Code: code}
	return &BrokenError{Target: a.target, Cause: cause, Sent: true}
}

// readErrorCode returns the code in an error body, or "" if the body has another form.
func readErrorCode(response *http.Response) string {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return ""
	}
	var refused wireRefusal
	if json.Unmarshal(body, &refused) != nil {
		return ""
	}
	return refused.Error.Code
}

func parseHead(header http.Header) Head {
	return Head{
		RunID:        header.Get(headerRequestID),
		Incarnation:  header.Get(headerIncarnation),
		Weights:      header.Get(headerWeights),
		CachedTokens: parseIntHeader(header, headerCachedTokens),
		PromptTokens: parseIntHeader(header, headerPromptTokens),
	}
}

// parseIntHeader parses a header as an integer; it returns zero if the header is absent or malformed.
func parseIntHeader(header http.Header, name string) int {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil {
		return 0
	}
	return value
}

func encodeQuery(pairs ...string) string {
	values := make(url.Values, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		values.Set(pairs[i], pairs[i+1])
	}
	return fmt.Sprintf("?%s", values.Encode())
}
