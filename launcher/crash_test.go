package launcher_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/checker"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/launcher"
)

const (
	// knownCrashes is the number of crashes, and contactTime the time after the last of them, after which all daemons are to
	// know that calls with one message in common crash engines.
	knownCrashes = 5
	contactTime  = 3 * time.Second
	// maxLaterCrashes is the number of crashes by such calls that is allowed from then on.
	maxLaterCrashes = 3
)

// chat sends a call with several messages and returns the status and the body of the answer.
func chat(t *testing.T, fleet *launcher.Fleet, daemon int, messages ...string) (status int, body string) {
	t.Helper()
	var list []map[string]string
	for _, message := range messages {
		list = append(list, map[string]string{"role": "user", "content": message})
	}
	encoded, err := json.Marshal(map[string]any{"model": launcher.DemoModel, "max_tokens": 4, "messages": list})
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fleet.URLs()[daemon]+"/v1/chat/completions", strings.NewReader(string(encoded)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+launcher.DemoKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

// Guards against calls that differ but have one message in common crashing one engine after another.
func TestCallsWithMessageThatCrashesEnginesAreRefused(t *testing.T) {
	fleet := start(t)
	for _, engine := range fleet.Engines {
		engine.SetFaults(engineemulator.Faults{CrashText: "poison"})
	}
	crashes, later, known := 0, 0, incarnations(fleet)
	var knownFrom time.Time
	for round := range 10 {
		daemon, isLater := round%len(fleet.Daemons), !knownFrom.IsZero() && time.Now().After(knownFrom)
		if status, body := chat(t, fleet, daemon, "shared", "poison", fmt.Sprint("own ", round)); status == http.StatusOK {
			t.Fatalf("a call that crashes engines was answered: %s", body)
		}
		if harmless := caller(fleet, daemon).Plain(t.Context(), fmt.Sprint("innocent ", round), 4); harmless.Verdict != checker.Complete {
			t.Errorf("harmless call: %+v", harmless)
		}
		if status, body := chat(t, fleet, daemon, "shared", fmt.Sprint("innocent ", round)); status != http.StatusOK {
			t.Errorf("a harmless call with another message in common was answered %d: %s", status, body)
		}
		time.Sleep(1500 * time.Millisecond) // The engine is back.
		after := incarnations(fleet)
		for i := range after {
			if after[i] != known[i] {
				crashes++
				if isLater {
					later++
				}
			}
		}
		if known = after; crashes >= knownCrashes && knownFrom.IsZero() {
			knownFrom = time.Now().Add(contactTime)
		}
	}
	status, body := chat(t, fleet, 0, "shared", "poison", "last")
	if later > maxLaterCrashes || status != http.StatusUnprocessableEntity || !strings.Contains(body, "not_run") {
		t.Errorf("engines crashed %d times, %d of them once all should know, want at most %d; the last answer is %d %s, want quarantined and not run",
			crashes, later, maxLaterCrashes, status, body)
	}
}
