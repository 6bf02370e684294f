package forwarder_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// cannedBody is a transport that responds to every request with the same body.
type cannedBody string

func (c cannedBody) RoundTrip(r *http.Request) (response *http.Response, err error) {
	header := http.Header{"Rill-Request-Id": {r.Header.Get("Rill-Request-Id")}}
	return &http.Response{
		StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader(string(c))), Request: r,
	}, nil
}

// FuzzStream reads arbitrary streams. Only chunks with the ID of the run may yield events, and
// only an event with a finish reason may end a stream without an error.
func FuzzStream(f *testing.F) {
	chunk := `{"id":"r1","choices":[{"delta":{"content":"a"},"finish_reason":null}],"rill_tokens":1}`
	finish := `{"id":"r1","choices":[{"delta":{},"finish_reason":"stop"}],"rill_tokens":0}`
	f.Add("id: 0\ndata: " + chunk + "\n\nid: 1\ndata: " + finish + "\n\ndata: [DONE]\n\n")
	f.Add("id: 0\ndata: " + strings.ReplaceAll(chunk, "r1", "r2") + "\n\n")
	f.Add("data: " + chunk + "\n\n")
	f.Add("id: -1\ndata: " + chunk + "\n\n")
	f.Add("data: [DONE]\n\n")
	f.Add("id: 0\ndata: {\"error\":{\"code\":\"cancelled\"}}\n\n")
	f.Add("id: 0\ndata: {\"id\":\"r1\",\"choices\":[],\"rill_tokens\":1}\n\n")
	f.Add("id: 0\r\ndata: " + finish + "\r\n\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		client := forwarder.New(forwarder.Settings{Transport: cannedBody(body), MaxEventBytes: 4096})
		stream, err := client.Generate(t.Context(), netip.MustParseAddrPort("10.0.0.1:80"), modelCall("r1", 4))
		if err != nil {
			t.Fatal(err)
		}
		ended := false
		for {
			event, err := stream.Next()
			if err != nil {
				if ended != (err == io.EOF) {
					t.Fatalf("ended is %v, error %v", ended, err)
				}
				return
			}
			if ended || event.Position < 0 || event.Tokens < 0 || !strings.Contains(body, "r1") {
				t.Fatalf("event %+v", event)
			}
			ended = event.Finish != ""
		}
	})
}
