package delegator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

// maxDuration bounds durations of messages.
const maxDuration = time.Hour

func milliseconds(count uint64) time.Duration {
	return time.Duration(min(count, uint64(maxDuration.Milliseconds()))) * time.Millisecond
}

func encodeHeaders(header http.Header) (headers []*hostingv1.Header) {
	for name, values := range header {
		headers = append(headers, &hostingv1.Header{Name: name, Values: values})
	}
	return headers
}

func decodeHeaders(headers []*hostingv1.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, h := range headers {
		header[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	return header
}

// encode encodes a call that was offered to a number of other daemons before, each of which may have made all its attempts.
func (d *Delegator) encode(ctx context.Context, call *relayer.Call, offers int) *hostingv1.RelayRequest {
	header := d.settings.Header(call)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
	return &hostingv1.RelayRequest{
		Method: call.Method, Uri: call.URI, Host: call.Host, Headers: encodeHeaders(header), Body: call.Body,
		Chunked: call.Chunked, AgeMs: uint64(max(d.settings.Now().Sub(call.ArrivedAt), 0).Milliseconds()),
		EarlierAttempts: uint32(offers * relayer.MaxAttempts),
	}
}

// answerBody reads the body of an answer from a stream of messages.
type answerBody struct {
	stream *connect.ServerStreamForClient[hostingv1.RelayResponse]
	end    func()
	once   sync.Once
	left   []byte
}

// errUnexpectedPart is the error if an answer contains another part after its head than data.
var errUnexpectedPart = errors.New("the daemon sent another part than data")

// Read returns io.EOF once the other daemon has ended the answer as complete.
func (b *answerBody) Read(p []byte) (n int, err error) {
	for len(b.left) == 0 {
		if !b.stream.Receive() {
			if err := b.stream.Err(); err != nil {
				return 0, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
			}
			return 0, io.EOF
		}
		part, isData := b.stream.Msg().GetPart().(*hostingv1.RelayResponse_Data)
		if !isData {
			return 0, errUnexpectedPart
		}
		b.left = part.Data
	}
	n = copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}

// Close ends the answer, also at the other daemon.
func (b *answerBody) Close() (err error) {
	b.once.Do(func() {
		b.end()
		_ = b.stream.Close() // The answer is complete or not needed.
	})
	return nil
}
