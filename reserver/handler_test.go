package reserver_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Guards against messages that take more memory than they need at their end, or keep it, and against one that is read though there is none.
func TestMessagesTakeMemoryOnce(t *testing.T) {
	const messageBytes = 1 << 20
	m := reserver.NewMemory(5 * messageBytes)
	var most int64
	read := make(chan struct{}, 1)
	server := httptest.NewServer(m.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read <- struct{}{}
		content, err := io.ReadAll(r.Body)
		_, _ = r.Body.Read(make([]byte, 1)) // Decoders read on after the end.
		most = m.Held()
		_, _ = fmt.Fprint(w, len(content), err) // The client's check tells if this fails.
	}), "peers"))
	defer server.Close()
	for _, known := range []bool{true, false} {
		var body io.Reader = bytes.NewReader(make([]byte, messageBytes))
		if !known {
			body = io.MultiReader(body)
		}
		response, err := http.Post(server.URL, "application/proto", body)
		if err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(response.Body) // A failure shows in the answer.
		_ = response.Body.Close()
		<-read
		if string(answer) != fmt.Sprint(messageBytes, nil) || known && most != 3*messageBytes {
			t.Errorf("length known %t: answered %q, %d bytes were held", known, answer, most)
		}
	}
	held := m.Hold("another", 5*messageBytes)
	response, err := http.Post(server.URL, "application/proto", bytes.NewReader(make([]byte, messageBytes)))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || len(read) > 0 {
		t.Fatalf("without memory: %v, %v", response, err)
	}
	_ = response.Body.Close()
	held.Release()
}
