package forwarder

import (
	"errors"
	"io"
	"net/http"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

// headEnd is the end of the head of a request.
const headEnd = "\r\n\r\n"

// upload follows one request through the bytes that are written to its connection.
type upload struct {
	// headMatched is the number of bytes of headEnd that were written last, until the whole head was.
	headMatched int
	// bodyLeft is the number of bytes of the body that were not written.
	bodyLeft int64
}

// newUpload returns the upload of a request whose body has a length, of which nothing was written.
func newUpload(bodyBytes int64) upload { return upload{bodyLeft: bodyBytes} }

// wrote counts bytes that were written.
func (u *upload) wrote(p []byte) {
	for len(p) > 0 && u.headMatched < len(headEnd) {
		switch p[0] {
		case headEnd[u.headMatched]:
			u.headMatched++
		case headEnd[0]:
			u.headMatched = 1
		default:
			u.headMatched = 0
		}
		p = p[1:]
	}
	u.bodyLeft -= int64(len(p))
}

func (u *upload) complete() bool { return u.headMatched == len(headEnd) && u.bodyLeft <= 0 }

// begin begins the upload of a request.
func (c *trackedConn) begin(request upload) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.upload = request
}

// uploaded reports whether the target had the whole request. A write that still waits for the target fails; one that is through has
// succeeded. A target that has read the whole request has acknowledged all of it before it ends the connection.
func (c *trackedConn) uploaded() bool {
	_ = c.SetWriteDeadline(dialer.ExpiredDeadline) // Fails only if the connection is closed, which ends the write too.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.upload.complete() && dialer.Acknowledged(c.socket)
}

// endsWithConnection reports whether the end of the connection is the only sign of the end of a response's body.
func endsWithConnection(response *http.Response) bool {
	return response.Close && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// unframedBody is a body that ends with its connection. It is whole only if the target had the whole request by then.
type unframedBody struct {
	io.ReadCloser
	conn *trackedConn
}

// Read returns io.EOF only at the end of a body that is whole, as far as that can be known.
func (u *unframedBody) Read(p []byte) (n int, err error) {
	n, err = u.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !u.conn.uploaded() {
		return n, dialer.ErrEndedDuringUpload
	}
	return n, err
}
