package reserver_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemaryrill/rosemaryrill/proto/peer/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/peer/v1/peerv1connect"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Guards against messages whose decoded form takes many times as much memory as was taken for them: those with many fields, and those in forms
// whose size can't be told.
func TestDecodedMessagesStayWithinMemory(t *testing.T) {
	const memoryBytes, legalFields, hostileFields = 4 << 20, 1000, 100_000
	m := reserver.NewMemory(memoryBytes)
	read := 0
	handler := m.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		read = len(content)
		if wanted := int64(legalFields * reserver.FieldBytes); m.Held() < wanted {
			t.Errorf("%d bytes are held for %d fields", m.Held(), legalFields)
		}
	}), "peers")
	message := func(fields int) []byte {
		encoded, err := proto.Marshal(&peerv1.ExchangeRequest{Members: make([]*peerv1.Member, fields)})
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	send := func(content []byte, name, value string) int {
		read = 0
		r := httptest.NewRequest(http.MethodPost, peerv1connect.PeerServiceExchangeProcedure, bytes.NewReader(content))
		r.Header.Set("Content-Type", "application/proto")
		r.Header.Set(name, value)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code
	}
	legal := message(legalFields)
	stream := append(make([]byte, 5), legal...)
	if status := send(legal, "X", ""); status != http.StatusOK || read != len(legal) {
		t.Errorf("a legal message: %d, %d bytes were read", status, read)
	}
	if status := send(stream, "Content-Type", "application/connect+proto"); status != http.StatusOK || read != len(stream) {
		t.Errorf("a legal message of a stream: %d, %d bytes were read", status, read)
	}
	if status := send(message(hostileFields), "X", ""); status != http.StatusTeapot {
		t.Errorf("a message with %d fields: %d", hostileFields, status)
	}
	for name, value := range map[string]string{"Content-Encoding": "gzip", "Connect-Content-Encoding": "br", "Grpc-Encoding": "gzip", "Content-Type": "application/json"} {
		if status := send(legal, name, value); status != http.StatusUnsupportedMediaType || read != 0 {
			t.Errorf("%s: %s: %d, %d bytes were read", name, value, status, read)
		}
	}
	if m.Held() != 0 {
		t.Errorf("%d bytes are still held", m.Held())
	}
}
