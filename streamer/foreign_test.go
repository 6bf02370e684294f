package streamer_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// foreignTransport answers for three engines: the first one breaks off its stream after two tokens, resumptions and the
// second one get the foreign answer, and the third one continues the stream.
type foreignTransport struct {
	status int
	// body may contain RUN, which stands for the id of the run.
	body string
	// named makes the foreign answer carry the id of the run.
	named bool
}

func tokenEvent(run string, position int, text, finish string) string {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%s}],\"rill_tokens\":%d}\n\n", position, run, text, reason, len(text))
}

type cutReader struct{ io.Reader }

func (c cutReader) Read(p []byte) (n int, err error) {
	if n, err = c.Reader.Read(p); errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (f foreignTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	run := r.Header.Get("Rill-Request-Id")
	if run == "" {
		run = strings.TrimPrefix(r.URL.Path, "/v1/streams/")
	}
	header := http.Header{"Rill-Request-Id": {run}, "Rill-Weights": {"w1"}, "Rill-Incarnation": {"i"}}
	status, body := http.StatusOK, io.Reader(strings.NewReader(""))
	switch engine := r.URL.Hostname(); {
	case r.Method == http.MethodDelete:
	case r.Method == http.MethodPost && engine == addressOf(1).Addr().String():
		body = cutReader{strings.NewReader(tokenEvent(run, 0, "ab", ""))}
	case r.Method == http.MethodPost && engine == addressOf(3).Addr().String():
		body = strings.NewReader(tokenEvent(run, 2, "c", "") + tokenEvent(run, 3, "d", "length") + "data: [DONE]\n\n")
	default:
		status, body = f.status, strings.NewReader(strings.ReplaceAll(f.body, "RUN", run))
		if !f.named {
			header = http.Header{}
		}
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(body), Request: r}, nil
}

// Guards against the text of an error in the middle of a stream, and against a stream that ends as if it were complete (ORDER,
// MIXED).
func TestForeignAnswerToContinuationIsNotPartOfStream(t *testing.T) {
	for name, foreign := range map[string]foreignTransport{
		"failure":                       {status: 500, body: "internal error"},
		"named failure":                 {status: 500, body: "internal error", named: true},
		"failure in the form of events": {status: 500, body: tokenEvent("RUN", 2, "x", "stop"), named: true},
		"not found":                     {status: 404, body: "not found", named: true},
		"redirection":                   {status: 302, body: tokenEvent("RUN", 2, "x", "stop"), named: true},
		"full":                          {status: 429, body: `{"error":{"code":"full"}}`, named: true},
		"page in place of events":       {status: 200, body: "<html>error</html>"},
		"named page":                    {status: 200, body: "<html>error</html>\n\nmore\n\n", named: true},
		"head and text":                 {status: 200, body: "HTTP/1.1 500 Internal Server Error\n\nerror", named: true},
		"empty stream":                  {status: 200, named: true},
		"end without a finish":          {status: 200, body: "data: [DONE]\n\n", named: true},
		"only seen events":              {status: 200, body: tokenEvent("RUN", 0, "ab", ""), named: true},
		"error event":                   {status: 200, body: "data: {\"error\":{\"code\":\"failed\",\"message\":\"text\"}}\n\n", named: true},
		"events of another run":         {status: 200, body: tokenEvent("other", 2, "x", "stop"), named: true},
		"events without a position":     {status: 200, body: "data: {\"id\":\"RUN\",\"choices\":[{\"delta\":{\"content\":\"x\"}}],\"rill_tokens\":1}\n\n", named: true},
		"events after a gap":            {status: 200, body: tokenEvent("RUN", 3, "x", "stop"), named: true},
		"finish that was seen":          {status: 200, body: tokenEvent("RUN", 0, "", "stop"), named: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, targets := range []int{2, 3} {
					client := forwarder.New(forwarder.Settings{Transport: foreign})
					streams := streamer.New(streamer.Settings{Engines: streamer.NewEngineClient(client), MaxAttempts: targets})
					sink := &collector{}
					outcome, err := streams.Run(t.Context(), streamer.Request{ID: "r", Weights: "w1", MaxTokens: 4}, &sequentialChooser{}, sink)
					_ = streams.Close()
					complete := targets == 3
					want := "ab"
					if complete {
						want = "abcd"
					}
					if (err == nil) != complete || sink.text.String() != want || (outcome.Finish != "") != complete || err != nil && !outcome.MayHaveRun() {
						t.Errorf("%d targets: %q, finish %q, %v", targets, sink.text.String(), outcome.Finish, err)
					}
				}
			})
		})
	}
}
