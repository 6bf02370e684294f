package checker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/classifier"
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
	if isCut, cause := mayBeCut(response); isCut {
		return Result{Verdict: Lost, Status: response.StatusCode, Body: string(answer), Cause: cause}
	}
	return serviceResult(response.StatusCode, answer)
}

var (
	errUnframed = errors.New("the answer states no end, so that a part of it would look the same")
	errNoStatus = errors.New("the answer has no status")
)

// mayBeCut reports whether an answer can't be told from a part of one, or from bytes that are no answer.
func mayBeCut(response *http.Response) (isCut bool, cause error) {
	switch {
	case classifier.Classify(response.StatusCode) != classifier.Final:
		return true, errNoStatus
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		return true, errUnframed
	}
	return false, nil
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
