package reserver

import (
	"context"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/rosemaryrill/rosemaryrill/dialer"
	"github.com/rosemaryrill/rosemaryrill/estimator"
)

const (
	// messageCopies is how often a message is held while it is received and decoded: the buffer, which doubles as it grows, and the message.
	messageCopies = 3
	// maxMessageBytes is the size beyond which no service reads a message, whatever length is announced.
	maxMessageBytes = 64 << 20
	// FieldBytes is what a field of a message takes once it is decoded, beside its content. A message within another one is a field.
	FieldBytes = 192
	// envelopeBytes is the length of the prefix of each message of a stream.
	envelopeBytes = 5
)

// The media types of messages: one message as a body, and messages of a stream in envelopes.
const (
	typeMessage = "application/proto"
	typeStream  = "application/connect+proto"
)

// FormError is returned for a message in a form whose decoded size isn't bounded by its length. Daemons and operators' clients send none.
type FormError struct {
	// Field is the field of the head that names the form, and Value what it holds.
	Field, Value string
}

// Error names the form and those that are taken.
func (e *FormError) Error() string {
	return fmt.Sprintf("%s: %s is not taken here, only %s and %s without compression", e.Field, e.Value, typeMessage, typeStream)
}

// messageReader counts what is read of a message that is decoded from its body, and the fields in it.
type messageReader struct {
	io.ReadCloser
	ctx   context.Context
	share *Share
	// reserved is how much of the body has been acquired; a body with a known length has all of it.
	reserved int64
	read     int64
	// fields counts the fields, nil if the body isn't decoded; envelope is how much of the prefix of the message is still to come, and
	// decoded what the fields take.
	fields   *estimator.Fields
	envelope int
	decoded  int64
}

// Read implements io.Reader. A body without a known length is reserved in steps.
func (r *messageReader) Read(p []byte) (n int, err error) {
	if r.read >= r.reserved {
		step := max(r.reserved, firstStepBytes)
		if err := r.share.Grow(r.ctx, messageCopies*int(step)); err != nil {
			return 0, err
		}
		r.reserved += step
	}
	n, err = r.ReadCloser.Read(p[:min(int64(len(p)), r.reserved-r.read)])
	r.read += int64(n)
	r.share.Received(n)
	if err := r.countFields(p[:n]); err != nil {
		return 0, err
	}
	if err == io.EOF && !r.share.Complete(messageCopies*int(r.read)+int(r.decoded)) {
		return n, &FullError{}
	}
	return n, err
}

// countFields takes memory for the fields that begin in a part of the body.
func (r *messageReader) countFields(part []byte) error {
	if r.fields == nil {
		return nil
	}
	prefix := min(r.envelope, len(part))
	r.envelope -= prefix
	added, err := r.fields.Add(part[prefix:])
	if err != nil {
		return err
	}
	bytes := FieldBytes * added
	r.decoded += int64(bytes)
	return r.share.GrowDecoded(r.ctx, bytes)
}

// AcquireMessage takes memory for a message that is the body of a request, and makes the request's body count as it is read. It returns a
// FormError for a message whose decoded size can't be told while it is read.
func (m *Memory) AcquireMessage(w http.ResponseWriter, r *http.Request, account string) (share *Share, err error) {
	if m == nil || r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	reader := &messageReader{ReadCloser: r.Body, ctx: r.Context()}
	if method := findMethod(r.URL.Path); method != nil {
		if reader.envelope, err = prefixBytes(r.Header); err != nil {
			return nil, err
		}
		reader.fields = estimator.NewFields(method.Input())
	}
	first := int64(firstStepBytes)
	reader.reserved = firstStepBytes
	if r.ContentLength >= 0 {
		first, reader.reserved = min(r.ContentLength, maxMessageBytes), math.MaxInt64
	}
	control := http.NewResponseController(w)
	share, err = m.Acquire(r.Context(), Claim{
		Account: account, Bytes: messageCopies * int(first),
		Interrupt: func() { _ = control.SetReadDeadline(dialer.ExpiredDeadline) }, // Fails only if the connection is closed.
	})
	if err != nil {
		return nil, err
	}
	reader.share = share
	r.Body = reader
	return share, nil
}

// findMethod returns the method that the path of a request names, or nil if there is none.
func findMethod(path string) protoreflect.MethodDescriptor {
	name := protoreflect.FullName(strings.ReplaceAll(strings.TrimPrefix(path, "/"), "/", "."))
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(name)
	if err != nil {
		return nil
	}
	method, _ := found.(protoreflect.MethodDescriptor)
	return method
}

// prefixBytes returns the length of the prefix before a message with a head.
func prefixBytes(header http.Header) (bytes int, err error) {
	for _, field := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if value := header.Get(field); value != "" && value != "identity" {
			return 0, &FormError{Field: field, Value: value}
		}
	}
	const field = "Content-Type"
	kind, _, err := mime.ParseMediaType(header.Get(field))
	switch {
	case err == nil && kind == typeMessage:
		return 0, nil
	case err == nil && kind == typeStream:
		return envelopeBytes, nil
	}
	return 0, &FormError{Field: field, Value: header.Get(field)}
}
