package engineemulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// answerRequest is a request that reads the answer of a run from a token position on, as a
// stream or as a whole.
type answerRequest struct {
	incarnation *incarnation
	run         *run
	identity    answerIdentity
	from        int
	stream      bool
}

// wireChunk is one event of a stream in the OpenAI form.
type wireChunk struct {
	ID         string       `json:"id"`
	Object     string       `json:"object"`
	Model      string       `json:"model"`
	Choices    []wireChoice `json:"choices"`
	RillTokens int          `json:"rill_tokens"`
	Usage      *wireUsage   `json:"usage,omitempty"`
}

type wireChoice struct {
	Index        int          `json:"index"`
	Delta        *wireMessage `json:"delta,omitempty"`
	Message      *wireMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type wireMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// writeAnswer waits until the run has a slot and writes its answer from call.from to its end.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, call answerRequest) {
	view := e.waitForRun(r, call, func(v runView) bool { return v.state != runWaiting })
	if view.failure != "" && view.state == runEnded && view.generatedTokens == call.run.firstToken {
		writeRefusal(w, &refusal{http.StatusServiceUnavailable, view.failure, "the run was dropped"})
		return
	}
	header := w.Header()
	header.Set(headerRequestID, call.identity.requestID)
	header.Set(headerIncarnation, call.incarnation.id)
	header.Set(headerWeights, call.run.weights)
	header.Set(headerCachedTokens, strconv.Itoa(view.cachedTokens))
	header.Set(headerPromptTokens, strconv.Itoa(call.run.promptTokens))
	if !call.stream {
		e.writeWholeAnswer(w, r, call)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.writeEvents(w, r, call)
}

// waitForRun waits until the run satisfies the condition. It aborts the connection when the
// client disconnects or the engine crashes.
func (e *Engine) waitForRun(r *http.Request, call answerRequest, condition func(runView) bool) runView {
	for {
		view := e.view(call.run)
		if condition(view) {
			e.waitWhileFrozen(r, call.incarnation)
			return view
		}
		select {
		case <-view.changed:
		case <-call.incarnation.done:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) writeWholeAnswer(w http.ResponseWriter, r *http.Request, call answerRequest) {
	view := e.waitForRun(r, call, func(v runView) bool { return v.state == runEnded })
	if view.failure != "" {
		writeRefusal(w, &refusal{http.StatusInternalServerError, view.failure, "the run was dropped"})
		return
	}
	text := answerRange(call.identity.promptHash, call.from, view.generatedTokens)
	finish := call.run.finishReason
	writeJSON(w, http.StatusOK, wireChunk{
		ID: call.identity.requestID, Object: "chat.completion", Model: call.run.model,
		Choices: []wireChoice{{
			Message: &wireMessage{Role: "assistant", Content: text}, FinishReason: &finish,
		}},
		RillTokens: view.generatedTokens - call.from,
		Usage:      usageOf(call.run, view.generatedTokens),
	})
}

func usageOf(r *run, generated int) *wireUsage {
	return &wireUsage{
		PromptTokens:     r.promptTokens,
		CompletionTokens: generated,
		TotalTokens:      r.promptTokens + generated,
	}
}

// writeEvents streams the tokens of a run as they are generated.
func (e *Engine) writeEvents(w http.ResponseWriter, r *http.Request, call answerRequest) {
	out := &eventWriter{engine: e, w: w, call: call}
	position := call.from
	for {
		view := e.waitForRun(r, call, func(v runView) bool {
			return v.generatedTokens > position || v.state == runEnded
		})
		if view.failure != "" {
			out.writeFailure(view.failure)
			return
		}
		tokens := min(view.generatedTokens-position, e.settings.TokensPerEvent)
		tokens = e.limitToCutPoint(position-call.from, tokens)
		if tokens > 0 {
			out.writeTokens(position, tokens)
			position += tokens
		}
		if view.state == runEnded && position == view.generatedTokens {
			out.writeFinish(position)
			return
		}
	}
}

// limitToCutPoint returns how many tokens the next event may carry so that it ends at
// Faults.CutStreamsAfterTokens at the latest. It aborts the connection once that many tokens
// were sent.
func (e *Engine) limitToCutPoint(sent, tokens int) int {
	e.mu.Lock()
	limit := e.faults.CutStreamsAfterTokens
	e.mu.Unlock()
	if limit <= 0 {
		return tokens
	}
	if sent >= limit {
		panic(http.ErrAbortHandler)
	}
	return min(tokens, limit-sent)
}

// eventWriter writes the events of one stream and injects the event faults.
type eventWriter struct {
	engine *Engine
	w      http.ResponseWriter
	call   answerRequest
	// delayedEvent is a reordered event, which is written after its successor.
	delayedEvent string
}

// writeTokens writes an event with the tokens from the position on, or applies the fault that
// is drawn for it.
func (o *eventWriter) writeTokens(position, tokens int) {
	text := answerRange(o.call.identity.promptHash, position, position+tokens)
	event := o.formatEvent(position, wireChunk{
		Choices:    []wireChoice{{Delta: &wireMessage{Content: text}}},
		RillTokens: tokens,
	})
	switch o.engine.drawEventFault() {
	case faultMissing:
	case faultDuplicate:
		o.write(event + event)
	case faultReordered:
		o.write(o.delayedEvent)
		o.delayedEvent = event
		return
	default:
		o.write(event)
	}
	o.write(o.delayedEvent)
	o.delayedEvent = ""
}

// writeFinish writes the last chunk and the end marker of the stream.
func (o *eventWriter) writeFinish(position int) {
	finish := o.call.run.finishReason
	o.write(o.delayedEvent)
	o.write(o.formatEvent(position, wireChunk{
		Choices: []wireChoice{{Delta: &wireMessage{}, FinishReason: &finish}},
		Usage:   usageOf(o.call.run, position),
	}))
	o.write("data: [DONE]\n\n")
}

// writeFailure writes an error event; the stream then ends without a finish reason.
func (o *eventWriter) writeFailure(code string) {
	o.write(fmt.Sprintf("data: {\"error\":{\"code\":%q,\"message\":\"the run was dropped\"}}\n\n", code))
}

func (o *eventWriter) formatEvent(position int, chunk wireChunk) string {
	chunk.ID = o.call.identity.requestID
	chunk.Object = "chat.completion.chunk"
	chunk.Model = o.call.run.model
	// Marshal can't fail, because the chunk contains only strings and numbers.
	body, _ := json.Marshal(chunk)
	var text strings.Builder
	fmt.Fprintf(&text, "id: %d\ndata: ", position)
	text.Write(body)
	text.WriteString("\n\n")
	return text.String()
}

func (o *eventWriter) write(text string) {
	if text == "" {
		return
	}
	if _, err := o.w.Write([]byte(text)); err != nil {
		panic(http.ErrAbortHandler)
	}
	flush(o.w)
}

func flush(w http.ResponseWriter) {
	// A writer without flush support sends its events when its buffer is full.
	_ = http.NewResponseController(w).Flush()
}
