package assembler_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against clients without a valid key that hold memory with bodies which they never finish: they are refused by their heads. One with a valid
// key is not.
func TestUnfinishedBodiesWithoutKeyAreRefused(t *testing.T) {
	f := newFleet(t, 1)
	for key, expected := range map[string]int{"unknown": http.StatusUnauthorized, validKey: 0} {
		for _, length := range []string{"Content-Length: 1000000", "Content-Length: 70000"} {
			conn, err := net.Dial("tcp", f.daemons[0].callers.String())
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second)) // It fails only on a closed connection.
			_, err = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: u\r\nAuthorization: Token %s\r\n%s\r\n\r\n", host, key, length)
			if err != nil {
				t.Fatal(err)
			}
			status := 0
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				status = response.StatusCode
				_ = response.Body.Close()
			}
			if status != expected {
				t.Errorf("key %s, %s: status %d, want %d", key, length, status, expected)
			}
			_ = conn.Close()
		}
	}
	if runs := runsOf(f.services, "u"); len(runs) > 0 {
		t.Errorf("%d unfinished requests ran", len(runs))
	}
}
