package checker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// PlaceOrder sends a non-idempotent call with an idempotency key. An answer with a status below 400 counts as complete; only
// the service can tell whether it executed the call exactly once.
func (c *Checker) PlaceOrder(ctx context.Context, path, key string, body []byte) (result Result) {
	return c.callService(ctx, http.MethodPost, path, key, body)
}

// Get sends an idempotent call to a service.
func (c *Checker) Get(ctx context.Context, path string) (result Result) {
	return c.callService(ctx, http.MethodGet, path, "", nil)
}

func (c *Checker) callService(ctx context.Context, method, path, key string, body []byte) (result Result) {
	started := time.Now()
	defer func() { result.Total = time.Since(started) }()
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return Result{Verdict: Lost, Cause: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.settings.Client.Do(request)
	if err != nil {
		return Result{Verdict: Lost, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{Verdict: Lost, Status: response.StatusCode, Cause: err}
	}
	return serviceResult(response.StatusCode, answer)
}

func serviceResult(status int, body []byte) Result {
	if status < http.StatusBadRequest {
		return Result{Verdict: Complete, Status: status, Body: string(body)}
	}
	var answer wireAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error == nil {
		return Result{Verdict: Lost, Status: status, Body: string(body), Cause: err}
	}
	return refusalResult(status, answer)
}
