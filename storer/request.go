package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"
)

// maxResponseBytes bounds a response body, whose largest form is a page of values in base64.
const maxResponseBytes = 64 << 20

// request is one call, independent of the address that it is sent to.
type request struct {
	method   string
	path     string
	query    url.Values
	body     []byte
	key      string
	expected Version
	// wait is how long the platform may delay the response to a long poll.
	wait time.Duration
}

// preferredAddress holds the index of the address that a call tries first.
type preferredAddress struct {
	index atomic.Int64
}

// read sends an idempotent call and retries it after failures, within the context's deadline.
func (c *Client) read(ctx context.Context, r request, result any) error {
	backoff := c.settings.RetryBase
	for attempt := 1; ; attempt++ {
		err := c.sendOnce(ctx, r, result)
		if !retryable(err) || attempt == c.settings.Attempts {
			return err
		}
		if sleep(ctx, rand.N(backoff+1)) != nil {
			return err
		}
		backoff = min(2*backoff, c.settings.RetryCap)
	}
}

// retryable reports whether a retry may succeed. It excludes calls that the client itself did
// not send, since a retry would be stopped for the same reason.
func retryable(err error) bool {
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		return false
	}
	notAttempted := errors.Is(err, ErrCircuitOpen) || errors.Is(err, ErrRateLimited) || errors.Is(err, ErrClosed)
	return !notAttempted
}

// write sends a call without retries.
func (c *Client) write(ctx context.Context, r request, result any) error {
	return c.sendOnce(ctx, r, result)
}

// sendOnce sends a call to the first address that accepts a connection, subject to the rate
// limit and the circuit breaker.
func (c *Client) sendOnce(ctx context.Context, r request, result any) (err error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return &UnavailableError{Cause: fmt.Errorf("%w: %w", ErrRateLimited, err)}
	}
	probe, ok := c.breaker.allow()
	if !ok {
		return &UnavailableError{Cause: ErrCircuitOpen}
	}
	started := time.Now()
	err = c.attemptWithTimeout(ctx, r, result)
	endedEarly := ctx.Err() != nil && time.Since(started) < c.settings.DialTimeout
	c.recordOutcome(probe, endedEarly || c.ctx.Err() != nil, err)
	return err
}

// recordOutcome reports the outcome of a call to the circuit breaker. A failure is
// inconclusive, and not counted, if the caller's context ended within DialTimeout or the client
// was closed, since neither is evidence of a platform failure. A context that ends later counts
// as a platform failure.
func (c *Client) recordOutcome(probe, inconclusive bool, err error) {
	var unavailable *UnavailableError
	var unknown *UnknownOutcomeError
	failed := errors.As(err, &unavailable) || errors.As(err, &unknown)
	switch {
	case !failed:
		c.breaker.recordSuccess()
	case inconclusive:
		c.breaker.releaseProbe(probe)
	default:
		c.breaker.recordFailure(probe)
	}
}

// attemptWithTimeout runs one attempt, bounded by AttemptTimeout plus the wait of a long poll,
// in a goroutine that Close cancels and waits for.
func (c *Client) attemptWithTimeout(ctx context.Context, r request, result any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.AttemptTimeout+r.wait)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	done := make(chan error, 1)
	if err := c.goUnlessClosed(func() { done <- c.tryAddresses(ctx, r, result) }); err != nil {
		return &UnavailableError{Cause: err}
	}
	return <-done
}

// goUnlessClosed runs f in a goroutine that Close waits for. It fails if the client is closed.
func (c *Client) goUnlessClosed(f func()) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if err := context.Cause(c.ctx); err != nil {
		return err
	}
	c.calls.Go(f)
	return nil
}

// tryAddresses tries the addresses in turn, beginning with the preferred one. It continues with
// the next one only if no connection was made, so that nothing was sent.
func (c *Client) tryAddresses(ctx context.Context, r request, result any) error {
	first := int(c.preferred.index.Load())
	var dialErr error
	for i := range c.settings.Addresses {
		index := (first + i) % len(c.settings.Addresses)
		sent, err := c.send(ctx, c.settings.Addresses[index], r, result)
		if sent || ctx.Err() != nil {
			c.updatePreferred(index, err)
			return err
		}
		dialErr = err
	}
	return dialErr
}

// updatePreferred makes the address preferred if it responded, and the one after it otherwise.
func (c *Client) updatePreferred(index int, err error) {
	var unavailable *UnavailableError
	var unknown *UnknownOutcomeError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) {
		index = (index + 1) % len(c.settings.Addresses)
	}
	c.preferred.index.Store(int64(index))
}

// send sends the call to one address. It reports whether a connection was made, in which case
// part of the call may have been sent.
func (c *Client) send(ctx context.Context, address netip.AddrPort, r request, result any) (sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	endpoint := url.URL{Scheme: "http", Host: address.String(), RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), r.method, endpoint.String(), bytes.NewReader(r.body))
	if err != nil {
		return false, &UnavailableError{Cause: err}
	}
	req.URL.Path, req.URL.RawPath = decodedPath(r.path), r.path
	response, err := c.http.Do(req)
	if err != nil {
		return connected.Load(), r.outcomeError(connected.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return true, r.outcomeError(true, err)
	}
	return true, r.decodeResponse(response.StatusCode, body, result)
}

// outcomeError returns the error of a call without a usable response: UnknownOutcomeError for
// a write that may have been sent, UnavailableError otherwise.
func (r request) outcomeError(sent bool, cause error) error {
	if sent && r.method != http.MethodGet {
		return &UnknownOutcomeError{Key: r.key, Cause: cause}
	}
	return &UnavailableError{Cause: cause}
}

// decodeResponse decodes the body into result, or returns the error that corresponds to the status.
// After a status outside 400 to 499 that has no case of its own, the outcome of a write is unknown.
func (r request) decodeResponse(status int, body []byte, result any) error {
	switch status {
	case http.StatusOK:
		if result == nil {
			return nil
		}
		if err := json.Unmarshal(body, result); err != nil {
			return r.outcomeError(true, fmt.Errorf("malformed answer: %w", err))
		}
		return nil
	case http.StatusNotFound:
		return &NotFoundError{Key: r.key}
	case http.StatusConflict:
		var conflict wireConflict
		if err := json.Unmarshal(body, &conflict); err != nil {
			return r.outcomeError(true, fmt.Errorf("malformed answer: %w", err))
		}
		return &ConflictError{Key: r.key, Expected: r.expected, Current: Version(conflict.Current)}
	case http.StatusRequestEntityTooLarge:
		return &ValueTooLargeError{Key: r.key, Bytes: len(r.body)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &UnavailableError{Cause: &StatusError{Status: status}}
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return &StatusError{Status: status}
	}
	return r.outcomeError(true, &StatusError{Status: status})
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
