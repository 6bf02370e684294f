package engineemulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// Headers of a chat request and of its response.
const (
	headerRequestID    = "Rill-Request-Id"
	headerAccount      = "Rill-Account"
	headerWeights      = "Rill-Weights"
	headerAdapter      = "Rill-Adapter"
	headerPriority     = "Rill-Priority"
	headerDeadline     = "Rill-Deadline-Unix-Ms"
	headerIncarnation  = "Rill-Incarnation"
	headerCachedTokens = "Rill-Cached-Tokens"
	headerPromptTokens = "Rill-Prompt-Tokens"
)

// wireChat is the body of a chat request.
type wireChat struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens    int  `json:"max_tokens"`
	Stream       bool `json:"stream"`
	ContinueFrom *struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
	} `json:"continue_from"`
}

// refusal is an error response: the engine rejected the request, or dropped its run before
// any token was sent.
type refusal struct {
	status  int
	code    string
	message string
}

func (f *refusal) Error() string { return f.code }

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := e.beginCall(r)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID)) // Refusals carry it too.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes))
	if err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "unreadable_body", "the body could not be read"})
		return
	}
	var call wireChat
	if err := json.Unmarshal(body, &call); err != nil || len(call.Messages) == 0 {
		writeRefusal(w, &refusal{http.StatusBadRequest, "malformed", "the body is not a chat completion"})
		return
	}
	prompt := call.prompt()
	accepted := e.newRun(r.Header, &call, prompt)
	ident, refused := e.accept(inc, accepted)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	e.crashIfTriggered(prompt)
	e.writeAnswer(w, r, answerRequest{
		incarnation: inc, run: accepted, identity: ident, from: accepted.firstToken, stream: call.Stream,
	})
}

func (c *wireChat) prompt() string {
	messages := make([]hasher.Message, 0, len(c.Messages))
	for _, message := range c.Messages {
		messages = append(messages, hasher.Message{Role: message.Role, Content: message.Content})
	}
	return hasher.Prompt(messages)
}

// newRun builds the run of a chat request without passing it to the scheduler.
func (e *Engine) newRun(header http.Header, call *wireChat, prompt string) *run {
	r := &run{
		id:         header.Get(headerRequestID),
		account:    header.Get(headerAccount),
		weights:    header.Get(headerWeights),
		adapter:    header.Get(headerAdapter),
		model:      call.Model,
		promptHash: xxh3.HashString(prompt),
		changed:    make(chan struct{}),
	}
	if r.weights == "" {
		r.weights = e.newestWeights()
	}
	r.chain = e.chainOf(r.account, r.weights, r.adapter, prompt)
	r.promptTokens = hasher.Tokens(prompt)
	// A malformed priority or deadline counts as absent.
	r.priority, _ = strconv.Atoi(header.Get(headerPriority))
	if ms, err := strconv.ParseInt(header.Get(headerDeadline), 10, 64); err == nil {
		r.deadline = time.UnixMilli(ms)
	}
	r.endToken, r.finishReason = e.answerLength(call.MaxTokens)
	if call.ContinueFrom != nil {
		r.firstToken = max(0, call.ContinueFrom.Tokens)
		r.promptTokens += r.firstToken
	}
	r.generatedTokens = r.firstToken
	r.endToken = max(r.endToken, r.firstToken)
	return r
}

// answerLength returns the number of tokens of an answer and its finish reason.
func (e *Engine) answerLength(maxTokens int) (tokens int, finish string) {
	if maxTokens <= 0 {
		maxTokens = e.settings.MaxTokens
	}
	if natural := e.settings.AnswerTokens; natural > 0 && natural <= maxTokens {
		return natural, finishStop
	}
	return maxTokens, finishLength
}

// answerIdentity determines which request an answer claims to belong to: the request ID in its
// header, and the prompt hash from which its text is generated.
type answerIdentity struct {
	requestID  string
	promptHash uint64
}

// accept queues a run for the scheduler and returns the identity for its answer, or returns
// the refusal.
func (e *Engine) accept(inc *incarnation, r *run) (ident answerIdentity, refused *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving:
		return answerIdentity{}, &refusal{http.StatusServiceUnavailable, "leaving", "the engine is leaving"}
	case !e.weightsLoaded(r.weights):
		return answerIdentity{}, &refusal{http.StatusConflict, "weights_not_loaded", "the weights are not loaded"}
	case r.adapter != "" && !e.adapters[r.adapter]:
		return answerIdentity{}, &refusal{http.StatusConflict, "adapter_not_loaded", "the adapter is not loaded"}
	case len(inc.waiting) >= e.settings.MaxWaiting:
		return answerIdentity{}, &refusal{http.StatusTooManyRequests, "full", "the queue is full"}
	case r.id != "" && inc.runs[r.id] != nil:
		return answerIdentity{}, &refusal{http.StatusBadRequest, "request_id_in_use", "the request is known already"}
	}
	e.counters.Runs++
	r.acceptSeq = uint64(e.counters.Runs)
	if r.id == "" {
		r.id = fmt.Sprintf("engine-%d", r.acceptSeq)
	}
	e.runsByID[r.id]++
	if r.firstToken > 0 {
		e.counters.Continuations++
	}
	e.enqueue(inc, r)
	return e.assignAnswerIdentity(r), nil
}

// assignAnswerIdentity returns the identity for the answer of a newly accepted run. While
// Faults.SwapAnswers is above zero, it decrements SwapAnswers and returns the identity of the
// previously accepted run, or an invented one if there is none. The caller holds mu.
func (e *Engine) assignAnswerIdentity(r *run) answerIdentity {
	previous := e.previousRun
	e.previousRun = r
	if e.faults.SwapAnswers <= 0 {
		return answerIdentity{requestID: r.id, promptHash: r.promptHash}
	}
	e.faults.SwapAnswers--
	e.counters.SwappedAnswers++
	if previous == nil || previous.id == r.id {
		return answerIdentity{requestID: "other-" + r.id, promptHash: ^r.promptHash}
	}
	return answerIdentity{requestID: previous.id, promptHash: previous.promptHash}
}

// crashIfTriggered crashes the engine if the prompt contains Faults.CrashText.
func (e *Engine) crashIfTriggered(prompt string) {
	e.mu.Lock()
	text := e.faults.CrashText
	e.mu.Unlock()
	if text == "" || !strings.Contains(prompt, text) {
		return
	}
	e.Crash()
	panic(http.ErrAbortHandler)
}

// handleResume handles GET /v1/streams/{id}.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	inc := e.beginCall(r)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "malformed", "from is not a number"})
		return
	}
	e.mu.Lock()
	e.removeEndedRuns(inc)
	kept := inc.runs[p.ByName("id")]
	e.mu.Unlock()
	if kept == nil || from < kept.firstToken || from > kept.endToken {
		writeRefusal(w, &refusal{http.StatusNotFound, "unknown_run", "the run is not kept"})
		return
	}
	e.writeAnswer(w, r, answerRequest{
		incarnation: inc, run: kept, from: from, stream: true,
		identity: answerIdentity{requestID: kept.id, promptHash: kept.promptHash},
	})
}

// handleCancel handles DELETE /v1/streams/{id}.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	inc := e.beginCall(r)
	e.mu.Lock()
	known := inc.runs[p.ByName("id")]
	if known != nil {
		if known.state != runEnded {
			e.counters.Cancelled++
		}
		e.endRun(inc, known, failureCancelled)
	}
	e.mu.Unlock()
	if known == nil {
		writeRefusal(w, &refusal{http.StatusNotFound, "unknown_run", "the run is not known"})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
