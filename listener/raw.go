package listener

import (
	"net/http"
	"time"
)

// AnswerAndReset writes an answer as it stands, without waiting for the rest of the request, and resets the connection after a while. The
// handler must return then.
func AnswerAndReset(w http.ResponseWriter, answer string, wait time.Duration) (err error) {
	defer Error.WrapP(&err)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if _, err := conn.Write([]byte(answer)); err != nil {
		return conn.Close()
	}
	time.Sleep(wait)
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // Fails only if the connection is closed.
	}
	return conn.Close()
}
