package checker_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/checker"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// streamBody returns the events of a complete answer with the text, as a daemon sends them, without the final [DONE].
func streamBody(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text) +
		"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
}

// TestStreamVerdicts checks the verdicts on complete, cut, altered and refused answers.
func TestStreamVerdicts(t *testing.T) {
	expected := engineemulator.Answer(hasher.Prompt([]hasher.Message{{Role: "user", Content: "hello"}}), 4)
	words := strings.Fields(expected)
	cases := []struct {
		name, answer string
		status       int
		want         checker.Verdict
	}{
		{"whole", streamBody(expected) + "data: [DONE]\n\n", 200, checker.Complete},
		{"cut before the end", streamBody(expected), 200, checker.Lost},
		{"last word missing", streamBody(strings.Join(words[:3], " ")+" ") + "data: [DONE]\n\n", 200, checker.Lost},
		{"text of another answer", streamBody("w00000000 ") + "data: [DONE]\n\n", 200, checker.Mixed},
		{"first word repeated", streamBody(words[0]+" "+expected) + "data: [DONE]\n\n", 200, checker.Mixed},
		{"ended by an error event", streamBody(expected[:5]) + "data: {\"error\":{\"code\":\"incomplete\",\"run\":\"may_have_run\"}}\n\n", 200, checker.Refused},
		{"refused before the answer", `{"error":{"code":"no_target","run":"not_run"}}`, 503, checker.Refused},
		{"error status without an error code", "sorry", 500, checker.Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.answer))
			}))
			defer daemon.Close()
			result := checker.New(checker.Settings{URL: daemon.URL, Model: "m"}).Stream(t.Context(), "hello", 4)
			if result.Verdict != c.want {
				t.Errorf("got %+v, want %s", result, c.want)
			}
		})
	}
}

// Guards against a check that believes an answer that ends with its connection, or one without a status: it would hide that a part of an
// answer was passed on as the whole (MIXED).
func TestAnswerThatMayBeCutIsLost(t *testing.T) {
	for answer, want := range map[string]checker.Verdict{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                            checker.Complete,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": checker.Complete,
		"HTTP/1.1 200 OK\r\n\r\nok":                                                 checker.Lost,
		"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok":                           checker.Lost,
		"HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok":                           checker.Lost,
	} {
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = conn.Write([]byte(answer))
			_ = conn.Close()
		}))
		if result := checker.New(checker.Settings{URL: daemon.URL}).Get(t.Context(), "/x"); result.Verdict != want {
			t.Errorf("%q: %+v, want %s", answer, result, want)
		}
		daemon.Close()
	}
}

func TestCountsAnswersCorrect(t *testing.T) {
	var tally checker.Tally
	tally.Add(checker.Result{Verdict: checker.Complete})
	tally.Add(checker.Result{Verdict: checker.Refused})
	if !tally.Counts().AnswersCorrect() {
		t.Error("AnswersCorrect is false after a refusal")
	}
	tally.AddDoubled(1)
	if tally.Counts().AnswersCorrect() || tally.Counts().Requests != 2 {
		t.Errorf("counts %+v", tally.Counts())
	}
}
