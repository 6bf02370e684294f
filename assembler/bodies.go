package assembler

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/dialer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

const (
	// bodyTimeout limits the time for reading the body of a request. No route gives a request as long.
	bodyTimeout = 5 * time.Minute
	// answerTimeout is how long a caller may leave a piece of its answer unread.
	answerTimeout = 30 * time.Second
	// bodyCopies is how often the body of a request is held.
	bodyCopies = 1
	// maxInternalHeaderBytes limits the heads of requests to the ports that are not for callers.
	maxInternalHeaderBytes = 16 << 10
)

// errBodyTimeout is the cause if the body of a request did not arrive in time.
var errBodyTimeout = errors.New("the body did not arrive in time")

// readBody reads the body of a caller's request within the memory for requests. The share, which has to be released, is nil if the request
// has no body.
func (e *edge) readBody(w http.ResponseWriter, r *http.Request) (body []byte, share *reserver.Share, err error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil, nil
	}
	limit := e.maxBodyBytes()
	if r.ContentLength > limit {
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	if err := e.checkAccess(r); err != nil {
		return nil, nil, err
	}
	control := http.NewResponseController(w)
	share, err = e.daemon.memory.Acquire(r.Context(), reserver.Claim{
		Account: e.accountName(r.Header), Bytes: reserver.FirstBytes(r.ContentLength),
		Interrupt: func() { _ = control.SetReadDeadline(dialer.ExpiredDeadline) }, // Fails only if the connection is closed.
	})
	if err != nil {
		return nil, nil, err
	}
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	if share.Evicted() || stopped(r.Context()) { // The deadline of the interruption is lost.
		_ = control.SetReadDeadline(dialer.ExpiredDeadline)
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	body, err = reserver.Body{Reader: reader, Length: r.ContentLength, Share: share}.ReadAll(r.Context())
	if err == nil {
		_ = control.SetReadDeadline(time.Time{}) // Else it stays, since the server goes on to read.
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !e.refuseNew.Load() && !stopped(r.Context()) {
		err = errBodyTimeout
	}
	return body, share, err
}

// accessError is the cause if the body of a request is not read, since its key is not valid.
type accessError struct{ refusal relayer.Refusal }

// Error names the reason.
func (e *accessError) Error() string { return "body not read: " + string(e.refusal.Reason) }

// checkAccess returns an accessError for a request without a valid key whose body is announced as large, so that it holds no memory.
func (e *edge) checkAccess(r *http.Request) error {
	if r.ContentLength <= reserver.SmallBytes {
		return nil
	}
	call, err := platform.DecodeCall(r, nil, time.Now())
	if err != nil {
		return nil // It is refused once the body has arrived.
	}
	if refusal := e.relayer.CheckAccess(call); refusal != nil {
		return &accessError{refusal: *refusal}
	}
	return nil
}

// stopped reports whether a stopping daemon has cancelled the request.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), relayer.ErrStopping) }

// accountName returns the name of the account whose key a request bears, as far as it is known.
func (e *edge) accountName(header http.Header) string {
	if catalog := e.daemon.view.Catalog(); catalog != nil {
		if account, known := catalog.Account(platform.CallerKey(header)); known {
			return account.Name
		}
	}
	return ""
}

// maxBodyBytes returns the size of the largest body that is taken: the limit of the configuration, which is for hosts of any size, or what the
// memory of this one has room for.
func (e *edge) maxBodyBytes() int64 {
	limit := int64(defaultMaxBodyBytes)
	if catalog := e.daemon.view.Catalog(); catalog != nil && catalog.Limits().MaxBodyBytes > 0 {
		limit = int64(catalog.Limits().MaxBodyBytes)
	}
	return min(limit, e.daemon.memory.LargestBody(bodyCopies))
}

// checkLimits warns if the configuration allows larger bodies than this host has memory for.
func (d *Daemon) checkLimits(limits cataloger.Limits) {
	if largest := d.memory.LargestBody(bodyCopies); int64(limits.MaxBodyBytes) > largest {
		d.logger.Warn("larger bodies are allowed than there is memory for", "limit", limits.MaxBodyBytes, "largest", largest)
	}
}

// refuseBody answers a request whose body was not read to its end. Unless its connection has ended, a caller that goes on to send gets its
// connection closed.
func (e *edge) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	e.daemon.logger.Debug("failed to read the request body", "error", err)
	var tooLarge *http.MaxBytesError
	var full *reserver.FullError
	var access *accessError
	refusal := relayer.Refusal{Status: http.StatusBadRequest, Reason: relayer.ReasonMalformed, NotRun: true, CloseConnection: true}
	switch {
	case errors.As(err, &tooLarge):
		refusal.Status, refusal.Reason = http.StatusRequestEntityTooLarge, relayer.ReasonTooLarge
	case errors.As(err, &access):
		refusal = access.refusal
		refusal.CloseConnection = true
	case errors.As(err, &full):
		refusal = relayer.NoMemory(full.RetryAfter)
	case errors.Is(err, errBodyTimeout):
		refusal.Status, refusal.Reason = http.StatusRequestTimeout, relayer.ReasonBodyTimeout
	case errors.Is(err, os.ErrDeadlineExceeded):
		platform.Codec{}.Refuse(w, relayer.Stopping()) // Drain has ended the reading of the body.
		return
	case isConnectionError(err):
		panic(http.ErrAbortHandler) // The caller disconnected before the end of the body.
	}
	e.daemon.observer.Metrics().CountRequestByResult(string(refusal.Reason))
	platform.Codec{}.Refuse(w, refusal)
	e.drainer.Linger(w, r)
}

// isConnectionError reports whether a body could not be read because its connection ended.
func isConnectionError(err error) bool {
	var networkError net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &networkError)
}
