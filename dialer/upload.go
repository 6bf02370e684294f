package dialer

import (
	"fmt"
	"io"
	"net"
	"time"
)

// ErrEndedDuringUpload is the cause if the end of the connection is the only sign of the end of a body, and came before the target had
// the whole request. The target may have reset the connection in the middle of the body: the kernel reports that once, and the
// write of the request may have received the report.
var ErrEndedDuringUpload = fmt.Errorf("the connection ended before the target had the whole request: %w", io.ErrUnexpectedEOF)

// ExpiredDeadline is a deadline that has passed. Setting it makes a read or a write that waits fail.
var ExpiredDeadline = time.Unix(1, 0)

// Acknowledged reports whether the peer has acknowledged all that was written, as it has before it ends the connection if it has read
// all of it. It is not known of a closed connection, for which the result is true.
func Acknowledged(conn net.Conn) bool {
	info, err := TCPInfo(conn)
	return err != nil || !Outstanding(info)
}
