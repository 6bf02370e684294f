// Package checker sends requests to a fleet and verifies the complete answers. It can compute the expected answers,
// because the engines and services of the fleet are emulators.
//
// # Usage
//
//	c := checker.New(checker.Settings{URL: "http://127.0.0.1:8080", Key: "demo-key", Model: "demo-model"})
//	result := c.Stream(ctx, "prompt", 32)
//	tally.Add(result)
//
// The Verdict of a Result is whether the answer was complete, deviated from the expected one, was lost or was refused.
package checker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// Verdict is the outcome of a request.
type Verdict string

// The verdicts.
const (
	// Complete means that exactly the expected answer was received.
	Complete Verdict = "complete"
	// Mixed means that the text is not a prefix of the expected answer, for example because it contains text of
	// another answer.
	Mixed Verdict = "mixed"
	// Lost means that no answer was received, or that it ended early without an error from the fleet.
	Lost Verdict = "lost"
	// Refused means that the fleet returned an error instead of an answer, or ended the answer with one.
	Refused Verdict = "refused"
)

// Result is the result of one request as the caller observes it.
type Result struct {
	Verdict Verdict
	// Code and Run are the error code and the run field of a refusal.
	Code string
	Run  string
	// Status is the HTTP status, or zero if there was no response.
	Status int
	// Body is the body of a service's response.
	Body string
	// FirstToken and Total are the times from the start of the request to the first token and to the end of the answer.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between consecutive events of a stream that carry text.
	Gaps         []time.Duration
	Tokens       int
	PromptTokens int
	CachedTokens int
	// Cause is the error behind a lost answer, if there is one.
	Cause error
}

// Settings are the parameters of a Checker.
type Settings struct {
	// URL is the base URL of a daemon's port for callers.
	URL string
	// Key is the caller's API key.
	Key   string
	Model string
	// Class is sent in the header Rill-Class unless it is empty.
	Class string
	// Client sends the requests; http.DefaultClient by default.
	Client *http.Client
}

// Checker sends requests and verifies their answers.
type Checker struct {
	settings Settings
}

// New returns a Checker.
func New(settings Settings) *Checker {
	if settings.Client == nil {
		settings.Client = http.DefaultClient
	}
	return &Checker{settings: settings}
}

type wireRequest struct {
	Model     string        `json:"model"`
	Messages  []wireMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireAnswer struct {
	Choices []struct {
		Delta        wireMessage `json:"delta"`
		Message      wireMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

// Plain sends a model call whose answer is not streamed, and verifies the answer.
func (c *Checker) Plain(ctx context.Context, prompt string, maxTokens int) (result Result) {
	started := time.Now()
	defer func() { result.Total = time.Since(started) }()
	response, err := c.sendChat(ctx, prompt, maxTokens, false)
	if err != nil {
		return Result{Verdict: Lost, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	var answer wireAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return Result{Verdict: Lost, Status: response.StatusCode, Cause: err}
	}
	if answer.Error != nil {
		return refusalResult(response.StatusCode, answer)
	}
	if len(answer.Choices) != 1 {
		return Result{Verdict: Lost, Status: response.StatusCode}
	}
	result.addUsage(answer)
	result.FirstToken = time.Since(started)
	result.Verdict = verdictOf(prompt, maxTokens, answer.Choices[0].Message.Content, answer.Choices[0].FinishReason != "")
	return result
}

func refusalResult(status int, answer wireAnswer) Result {
	return Result{Verdict: Refused, Status: status, Code: answer.Error.Code, Run: answer.Error.Run}
}

// addUsage copies the token counts of an answer, if it has any.
func (r *Result) addUsage(answer wireAnswer) {
	if answer.Usage.CompletionTokens > 0 {
		r.Tokens = answer.Usage.CompletionTokens
		r.PromptTokens = answer.Usage.PromptTokens
		r.CachedTokens = answer.Usage.Details.CachedTokens
	}
}

// Stream sends a model call whose answer is streamed, and verifies the complete answer.
func (c *Checker) Stream(ctx context.Context, prompt string, maxTokens int) (result Result) {
	started := time.Now()
	defer func() { result.Total = time.Since(started) }()
	response, err := c.sendChat(ctx, prompt, maxTokens, true)
	if err != nil {
		return Result{Verdict: Lost, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var answer wireAnswer
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Error == nil {
			return Result{Verdict: Lost, Status: response.StatusCode, Cause: err}
		}
		return refusalResult(response.StatusCode, answer)
	}
	return readStream(response.Body, started, prompt, maxTokens)
}

// readStream reads server-sent events up to [DONE] or an error event.
func readStream(body io.Reader, started time.Time, prompt string, maxTokens int) (result Result) {
	result = Result{Verdict: Lost, Status: http.StatusOK}
	var text strings.Builder
	finished := false
	var last time.Time
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Verdict = verdictOf(prompt, maxTokens, text.String(), finished)
			return result
		}
		var answer wireAnswer
		if err := json.Unmarshal([]byte(data), &answer); err != nil {
			result.Cause = err
			return result
		}
		if answer.Error != nil {
			return refusalResult(http.StatusOK, answer)
		}
		for _, choice := range answer.Choices {
			if choice.Delta.Content != "" {
				last = result.recordText(started, last)
			}
			text.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
		result.addUsage(answer)
	}
	result.Cause = lines.Err()
	return result
}

// recordText records the arrival of an event with text, either as the first token or as a gap since the last such
// event. It returns the time of arrival.
func (r *Result) recordText(started, last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		r.FirstToken = now.Sub(started)
		return now
	}
	r.Gaps = append(r.Gaps, now.Sub(last))
	return now
}

// verdictOf compares a received text with the one that the emulated engine generates for the prompt. The argument
// finished reports whether the answer had a finish reason.
func verdictOf(prompt string, maxTokens int, got string, finished bool) Verdict {
	want := engineemulator.Answer(hasher.Prompt([]hasher.Message{{Role: "user", Content: prompt}}), maxTokens)
	switch {
	case got == want && finished:
		return Complete
	case strings.HasPrefix(want, got):
		return Lost
	}
	return Mixed
}

func (c *Checker) sendChat(ctx context.Context, prompt string, maxTokens int, stream bool) (*http.Response, error) {
	body, err := json.Marshal(wireRequest{
		Model:     c.settings.Model,
		Messages:  []wireMessage{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	if err != nil {
		return nil, err
	}
	request, err := c.newRequest(ctx, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	if c.settings.Class != "" {
		request.Header.Set("Rill-Class", c.settings.Class)
	}
	return c.settings.Client.Do(request)
}

func (c *Checker) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.settings.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	request.Header.Set("Content-Type", "application/json")
	// With GetBody, the standard client can read the body again and resends a request whose connection failed, for
	// example one with an idempotency key. Without GetBody it sends each request once.
	request.GetBody = nil
	return request, nil
}
