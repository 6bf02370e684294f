package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reserver"
	"github.com/rosemaryrill/rosemaryrill/router"
)

const (
	defaultMaxTokens = 256
	classInteractive = "interactive"
	classDeferrable  = "deferrable"
)

// wireMessage is a message whose content is a string or a list of parts.
type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// wireTextMessage is a message whose content is a string, the most frequent form. Decoding it
// needs two fewer scans of the content, which may be a long prompt, than json.RawMessage in
// wireMessage, so decodeChat tries this form first.
type wireTextMessage struct {
	Role    string  `json:"role"`
	Content *string `json:"content"`
}

type wireChat struct {
	Model               string `json:"model"`
	MaxTokens           *int   `json:"max_tokens"`
	MaxCompletionTokens *int   `json:"max_completion_tokens"`
	Stream              bool   `json:"stream"`
	N                   *int   `json:"n"`
	wireOptions
	wireUnsupported
}

// wireTextChat is a request in which the content of each message is a string.
type wireTextChat struct {
	wireChat
	Messages []wireTextMessage `json:"messages"`
}

// wirePartsChat is a request in which the content of a message may be a list of parts.
type wirePartsChat struct {
	wireChat
	Messages []wireMessage `json:"messages"`
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params, c caller) observer.OutcomeLabel {
	started := time.Now()
	request, stream, share, refusal := s.readChatRequest(w, r, c, started)
	defer share.Release()
	if refusal != nil {
		return s.writeBodyRefusal(w, r, c.account.Name, refusal)
	}
	var answer answerWriter = newBufferedAnswer(w, request)
	if stream {
		answer = newStreamAnswer(w, request)
	}
	err := s.settings.Completer.Complete(r.Context(), request, answer)
	if err == nil {
		answer.finish()
		return observer.OutcomeComplete
	}
	refusal = s.chatRefusal(r.Context(), err)
	if !answer.headerSent() {
		return s.writeRefusal(w, c.account.Name, refusal)
	}
	s.reportRefusal(c.account.Name, refusal)
	answer.fail(refusal)
	return observer.OutcomeIncomplete
}

// chatRefusal returns the refusal for an error of the Completer. If the shutdown of the daemon
// cancelled the request, the refusal has the code CodeLeaving.
func (s *Server) chatRefusal(ctx context.Context, err error) *refuser.Refusal {
	refusal := refuser.From(err)
	if isShutDown(ctx) {
		leaving := refuser.New(refuser.CodeLeaving, "the daemon stopped before the answer was complete").WithCause(err)
		leaving.Run = refusal.Run
		return leaving
	}
	return refusal
}

// readChatRequest reads a request. The share is the memory that it holds.
func (s *Server) readChatRequest(w http.ResponseWriter, r *http.Request, c caller, now time.Time) (request completer.Request, stream bool, share *reserver.Share, refusal *refuser.Refusal) {
	deadline, refusal := s.deadline(r, now)
	if refusal != nil {
		return request, false, nil, refusal
	}
	class, refusal := requestClass(r.Header.Get(headerClass), c.account)
	if refusal != nil {
		return request, false, nil, refusal
	}
	body, share, refusal := s.readBody(w, r, c.account.Name, chatCopies)
	if refusal != nil {
		return request, false, nil, refusal
	}
	if refusal := s.takeDecoded(r.Context(), body, share); refusal != nil {
		return request, false, share, refusal
	}
	request, stream, refusal = parseChat(body)
	if refusal != nil {
		return request, false, share, refusal
	}
	request.ID = c.requestID
	request.Account = c.account.Name
	request.Class = class
	request.ArrivedAt = now
	request.Deadline = deadline
	return request, stream, share, nil
}

// parseChat parses a request in the OpenAI format. It copies the sampling fields to Options and
// ignores unknown fields.
func parseChat(body []byte) (request completer.Request, stream bool, refusal *refuser.Refusal) {
	wire, messages, refusal := decodeChat(body)
	if refusal != nil {
		return request, false, refusal
	}
	if wire.Model == "" {
		return request, false, refuser.New(refuser.CodeBadRequest, "the field model is needed")
	}
	if len(messages) == 0 {
		return request, false, refuser.New(refuser.CodeBadRequest, "the field messages needs at least one message")
	}
	if wire.N != nil && *wire.N != 1 {
		return request, false, refuser.New(refuser.CodeBadRequest, "the field n must be 1")
	}
	if refusal := wire.checkUnsupported(); refusal != nil {
		return request, false, refusal
	}
	maxTokens, refusal := requestMaxTokens(wire)
	if refusal != nil {
		return request, false, refusal
	}
	options, refusal := wire.encodeOptions()
	if refusal != nil {
		return request, false, refusal
	}
	return completer.Request{Model: wire.Model, Messages: messages, MaxTokens: maxTokens, Options: options}, wire.Stream, nil
}

// decodeChat first decodes the body with all contents as strings. If that fails, it decodes again
// with raw contents, which may be strings or lists of parts.
func decodeChat(body []byte) (wire wireChat, messages []hasher.Message, refusal *refuser.Refusal) {
	var text wireTextChat
	if err := json.Unmarshal(body, &text); err == nil {
		if messages, ok := textMessages(text.Messages); ok {
			return text.wireChat, messages, nil
		}
	}
	var parts wirePartsChat
	if err := json.Unmarshal(body, &parts); err != nil {
		return wire, nil, refuser.New(refuser.CodeBadRequest, "the body is not a chat completion request in JSON: %v", err)
	}
	messages, refusal = messagesFromWire(parts.Messages)
	return parts.wireChat, messages, refusal
}

// textMessages converts the messages. It returns false if one lacks a role or a content.
func textMessages(wire []wireTextMessage) (messages []hasher.Message, ok bool) {
	messages = make([]hasher.Message, 0, len(wire))
	for _, message := range wire {
		if message.Role == "" || message.Content == nil {
			return nil, false
		}
		messages = append(messages, hasher.Message{Role: message.Role, Content: *message.Content})
	}
	return messages, true
}

func requestMaxTokens(wire wireChat) (maxTokens int, refusal *refuser.Refusal) {
	limit := wire.MaxTokens
	if limit == nil {
		limit = wire.MaxCompletionTokens
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 {
		return 0, refuser.New(refuser.CodeBadRequest, "the field max_tokens must be at least 1")
	}
	return *limit, nil
}

func messagesFromWire(wire []wireMessage) (messages []hasher.Message, refusal *refuser.Refusal) {
	messages = make([]hasher.Message, 0, len(wire))
	for i, message := range wire {
		if message.Role == "" {
			return nil, refuser.New(refuser.CodeBadRequest, "messages[%d].role is needed", i)
		}
		content, ok := contentFromWire(message.Content)
		if !ok {
			return nil, refuser.New(refuser.CodeBadRequest, "messages[%d].content must be a string or a list of text parts", i)
		}
		messages = append(messages, hasher.Message{Role: message.Role, Content: content})
	}
	return messages, nil
}

// contentFromWire decodes a content that is a string or a list of text parts, and concatenates
// the parts.
func contentFromWire(raw json.RawMessage) (content string, ok bool) {
	if err := json.Unmarshal(raw, &content); err == nil {
		return content, true
	}
	var parts []wirePart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", false
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", false
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), true
}

func requestClass(header string, account *registrar.Account) (class completer.Class, refusal *refuser.Refusal) {
	name := header
	if name == "" {
		name = account.Labels[registrar.LabelClass]
	}
	switch name {
	case "", classInteractive:
		return router.ClassInteractive, nil
	case classDeferrable:
		return router.ClassDeferrable, nil
	}
	return router.ClassInteractive, refuser.New(refuser.CodeBadRequest,
		"the header %s takes %s or %s", headerClass, classInteractive, classDeferrable)
}
