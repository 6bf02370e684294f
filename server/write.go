package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/refuser"
)

// answerWriter receives the answer of a model call and writes it as one JSON object or as a
// stream.
type answerWriter interface {
	completer.Sink
	// headerSent reports whether the response header has been sent, after which an error can no
	// longer be answered with a refusal and its status code.
	headerSent() bool
	// finish ends a complete answer.
	finish()
	// fail ends an answer whose header has been sent.
	fail(refusal *refuser.Refusal)
}

type wireUsage struct {
	PromptTokens     int              `json:"prompt_tokens"`
	CompletionTokens int              `json:"completion_tokens"`
	TotalTokens      int              `json:"total_tokens"`
	Details          wireUsageDetails `json:"prompt_tokens_details"`
}

type wireUsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type wireChoice struct {
	Index        int        `json:"index"`
	Delta        *wireDelta `json:"delta,omitempty"`
	Message      *wireDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type wireCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

// baseAnswer is the state that bufferedAnswer and streamAnswer share.
type baseAnswer struct {
	writer           http.ResponseWriter
	request          completer.Request
	created          time.Time
	head             completer.Head
	completionTokens int
	finishReason     string
}

func (a *baseAnswer) completion(object string, choice wireChoice) wireCompletion {
	return wireCompletion{
		ID:      "chatcmpl-" + a.request.ID,
		Object:  object,
		Created: a.created.Unix(),
		Model:   a.request.Model,
		Choices: []wireChoice{choice},
	}
}

func (a *baseAnswer) usage() *wireUsage {
	return &wireUsage{
		PromptTokens:     a.head.PromptTokens,
		CompletionTokens: a.completionTokens,
		TotalTokens:      a.head.PromptTokens + a.completionTokens,
		Details:          wireUsageDetails{CachedTokens: a.head.CachedTokens},
	}
}

// bufferedAnswer collects the whole answer in memory and writes it as one JSON object.
type bufferedAnswer struct {
	baseAnswer
	text strings.Builder
}

func newBufferedAnswer(w http.ResponseWriter, request completer.Request) *bufferedAnswer {
	return &bufferedAnswer{baseAnswer: baseAnswer{writer: w, request: request, created: time.Now()}}
}

// Begin implements completer.Sink.
func (b *bufferedAnswer) Begin(head completer.Head) error {
	b.head = head
	return nil
}

// Deliver implements completer.Sink.
func (b *bufferedAnswer) Deliver(event completer.Event) error {
	b.text.WriteString(event.Text)
	b.completionTokens += event.Tokens
	b.finishReason = event.Finish
	return nil
}

func (b *bufferedAnswer) headerSent() bool { return false }

func (b *bufferedAnswer) finish() {
	message := &wireDelta{Role: "assistant", Content: b.text.String()}
	completion := b.completion("chat.completion", wireChoice{Message: message, FinishReason: &b.finishReason})
	completion.Usage = b.usage()
	writeJSON(b.writer, http.StatusOK, completion)
}

// fail does nothing: the header is not sent before finish, so failed calls end with a refusal.
func (b *bufferedAnswer) fail(*refuser.Refusal) {}

// streamAnswer writes each event immediately as a server-sent event.
type streamAnswer struct {
	baseAnswer
	headerWritten bool
}

func newStreamAnswer(w http.ResponseWriter, request completer.Request) *streamAnswer {
	return &streamAnswer{baseAnswer: baseAnswer{writer: w, request: request, created: time.Now()}}
}

// Begin implements completer.Sink.
func (s *streamAnswer) Begin(head completer.Head) error {
	s.head = head
	s.headerWritten = true
	s.writer.Header().Set("Content-Type", contentTypeEventStream)
	s.writer.Header().Set("Cache-Control", "no-cache")
	s.writer.WriteHeader(http.StatusOK)
	return s.send(s.completion("chat.completion.chunk", wireChoice{Delta: &wireDelta{Role: "assistant"}}))
}

// Deliver implements completer.Sink.
func (s *streamAnswer) Deliver(event completer.Event) error {
	s.completionTokens += event.Tokens
	choice := wireChoice{Delta: &wireDelta{Content: event.Text}}
	if event.Finish != "" {
		choice.FinishReason = &event.Finish
	}
	completion := s.completion("chat.completion.chunk", choice)
	if event.Finish != "" {
		completion.Usage = s.usage()
	}
	return s.send(completion)
}

func (s *streamAnswer) headerSent() bool { return s.headerWritten }

func (s *streamAnswer) finish() {
	_ = s.write("[DONE]")
}

// fail ends the stream with an error event and without [DONE], so that the caller does not
// mistake a partial answer for a complete one.
func (s *streamAnswer) fail(refusal *refuser.Refusal) {
	_ = s.send(refusalToWire(refusal))
}

func (s *streamAnswer) send(value any) error {
	data, err := encoder.JSON(value)
	if err != nil {
		return err
	}
	return s.write(string(data))
}

func (s *streamAnswer) write(data string) error {
	if _, err := s.writer.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}
