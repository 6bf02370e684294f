package engineemulator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/hasher"
)

var address = netip.MustParseAddrPort("10.0.0.1:8000")

// fixture is an engine on an emulated network within a synctest bubble.
type fixture struct {
	t       *testing.T
	engine  *engineemulator.Engine
	network *engineemulator.Network
}

// runWithEngine runs a test against an engine with simple timing: 1000 prompt tokens a second, a
// decode step of 10 ms and blocks of 100 tokens.
func runWithEngine(t *testing.T, settings engineemulator.Settings, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings.PrefillTokensPerSecond = 1000
		settings.DecodeStep = 10 * time.Millisecond
		settings.BlockTokens = 100
		settings.Weights = []string{"w1"}
		f := &fixture{t: t, engine: engineemulator.New(settings), network: engineemulator.NewNetwork(nil)}
		f.network.Add(address, f.engine)
		test(f)
		_ = f.engine.Close()
		_ = f.network.Close()
	})
}

// do sends a request and returns the complete response.
func (f *fixture) do(method, path, body string, header ...string) (status int, head http.Header, answer string, err error) {
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+address.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Error(err)
		return 0, nil, "", err
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := f.network.RoundTrip(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(text), err
}

// chat sends a chat request with one message; header contains pairs of names and values.
func (f *fixture) chat(id, prompt string, maxTokens int, header ...string) (status int, head http.Header, answer string, err error) {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, maxTokens)
	header = append([]string{"Rill-Request-Id", id, "Rill-Account", "a", "Rill-Weights", "w1"}, header...)
	return f.do(http.MethodPost, "/v1/chat/completions", body, header...)
}

func (f *fixture) get(path string, into any) {
	f.t.Helper()
	status, _, answer, err := f.do(http.MethodGet, path, "")
	if err != nil || status != http.StatusOK {
		f.t.Errorf("%s: %d, %v", path, status, err)
		return
	}
	if err := json.Unmarshal([]byte(answer), into); err != nil {
		f.t.Errorf("%s: %v", path, err)
	}
}

// textOfTokens returns a text of the given number of tokens that repeats the word.
func textOfTokens(name string, tokens int) string {
	return strings.Repeat(name, tokens*hasher.BytesPerToken/len(name))
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{}, func(f *fixture) {
		prompt := textOfTokens("rim ", 1000)
		started := time.Now()
		_, _, _, err := f.chat("r1", prompt, 1)
		first := time.Since(started)
		started = time.Now()
		_, head, _, err2 := f.chat("r2", prompt+textOfTokens("hub ", 100), 1)
		second := time.Since(started)
		if err != nil || err2 != nil || first < time.Second || second > 200*time.Millisecond {
			t.Errorf("first %s, second %s, %v, %v", first, second, err, err2)
		}
		if cached := head.Get("Rill-Cached-Tokens"); cached != "1000" {
			t.Errorf("cached tokens %q", cached)
		}
		counters := f.engine.Counters()
		if counters.CachedTokens != 1000 || counters.RecomputedTokens != 0 {
			t.Errorf("counters %+v", counters)
		}
		_, head, _, _ = f.chat("r3", prompt, 1, "Rill-Account", "b")
		if head.Get("Rill-Cached-Tokens") != "0" {
			t.Errorf("another account shares the cache: %v", head)
		}
	})
}

func TestCacheIsBounded(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{CacheBlocks: 10}, func(f *fixture) {
		first, second := textOfTokens("rim ", 800), textOfTokens("hub ", 800)
		for i, prompt := range []string{first, second, first} {
			if _, head, _, err := f.chat(fmt.Sprint(i), prompt, 1); err != nil || head.Get("Rill-Cached-Tokens") == "800" {
				t.Errorf("call %d: %v, %v", i, head, err)
			}
		}
		counters := f.engine.Counters()
		if counters.RecomputedTokens == 0 {
			t.Errorf("the tokens of an evicted prefix were not counted as recomputed: %+v", counters)
		}
		chain := hasher.Blocks(hasher.Seed("a", "w1", ""), "user\n"+first+"\n", 100)
		if cached := f.engine.CachedPrefix(chain); cached != 800 {
			t.Errorf("%d tokens of the newest prompt are cached", cached)
		}
	})
}

// TestBatching compares the duration of one answer with that of eight concurrent answers.
func TestBatching(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{}, func(f *fixture) {
		timeOf := func(name string, count int) time.Duration {
			started := time.Now()
			var wait sync.WaitGroup
			for i := range count {
				wait.Go(func() { _, _, _, _ = f.chat(fmt.Sprint(name, i), "q", 100) })
			}
			wait.Wait()
			return time.Since(started)
		}
		one, eight := timeOf("one", 1), timeOf("eight", 8)
		if eight < one*12/10 || eight > 2*one {
			t.Errorf("one answer took %s, eight concurrent answers %s", one, eight)
		}
	})
}

func TestPrioritiesAndQueue(t *testing.T) {
	settings := engineemulator.Settings{Slots: 1, MaxWaiting: 2}
	runWithEngine(t, settings, func(f *fixture) {
		var mu sync.Mutex
		var order []string
		var wait sync.WaitGroup
		chat := func(id string, priority int) {
			wait.Go(func() {
				status, _, _, _ := f.chat(id, "q", 10, "Rill-Priority", fmt.Sprint(priority))
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(id, " ", status))
			})
			time.Sleep(time.Millisecond)
		}
		chat("first", 0)
		chat("low", 0)
		chat("high", 5)
		chat("over", 0)
		wait.Wait()
		if want := []string{"over 429", "first 200", "high 200", "low 200"}; !slices.Equal(order, want) {
			t.Errorf("got %q", order)
		}
	})
}

func TestDeadlineAndCancel(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{Slots: 1}, func(f *fixture) {
		deadline := fmt.Sprint(time.Now().Add(100 * time.Millisecond).UnixMilli())
		if status, _, _, _ := f.chat("late", "q", 100, "Rill-Deadline-Unix-Ms", deadline); status == http.StatusOK {
			t.Error("a run continued after its deadline")
		}
		var wait sync.WaitGroup
		wait.Go(func() { _, _, _, _ = f.chat("long", "q", 1000) })
		time.Sleep(50 * time.Millisecond)
		status, _, _, err := f.do(http.MethodDelete, "/v1/streams/long", "")
		wait.Wait()
		if status != http.StatusOK || err != nil || f.engine.Queue().Running != 0 {
			t.Errorf("cancel: %d, %v, %+v", status, err, f.engine.Queue())
		}
		if status, _, _, _ := f.do(http.MethodDelete, "/v1/streams/none", ""); status != http.StatusNotFound {
			t.Errorf("cancel of an unknown run: %d", status)
		}
		counters := f.engine.Counters()
		if counters.Cancelled != 1 || counters.Expired != 1 {
			t.Errorf("counters %+v", counters)
		}
	})
}

func TestEndedRunsAreRemovedAfterRetention(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{}, func(f *fixture) {
		_, _, whole, _ := f.chat("r1", "q", 8)
		time.Sleep(29 * time.Second)
		status, _, again, _ := f.do(http.MethodGet, "/v1/streams/r1?from=5", "")
		rest := strings.TrimPrefix(engineemulator.Answer("user\nq\n", 8), engineemulator.Answer("user\nq\n", 5))
		if status != http.StatusOK || !strings.Contains(whole, engineemulator.Answer("user\nq\n", 8)) || !containsTokens(again, rest) {
			t.Errorf("resumed %d %q after %q", status, again, whole)
		}
		time.Sleep(2 * time.Second)
		if status, _, _, _ := f.do(http.MethodGet, "/v1/streams/r1?from=5", ""); status != http.StatusNotFound {
			t.Errorf("after 31 s: %d", status)
		}
	})
}

func containsTokens(stream, tokens string) bool {
	for token := range strings.FieldsSeq(tokens) {
		if !strings.Contains(stream, token) {
			return false
		}
	}
	return true
}

type wireEvents struct {
	Events []struct {
		Seq  uint64 `json:"seq"`
		Kind string `json:"kind"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	settings := engineemulator.Settings{CacheEventDelay: 500 * time.Millisecond, CacheEventGapOneIn: 4, CacheBlocks: 50}
	runWithEngine(t, settings, func(f *fixture) {
		_, _, _, _ = f.chat("r1", textOfTokens("rim ", 10_000), 1)
		var early, late wireEvents
		f.get("/v1/cache_events?after=0", &early)
		time.Sleep(time.Second)
		f.get("/v1/cache_events?after=0", &late)
		kinds := make(map[string]int)
		for _, event := range late.Events {
			kinds[event.Kind]++
		}
		if early.Next >= 150 || late.Next != 150 {
			t.Errorf("next %d, then %d", early.Next, late.Next)
		}
		if len(late.Events) >= 150 || len(late.Events) < 80 || kinds["stored"] == 0 || kinds["evicted"] == 0 {
			t.Errorf("%d events of 150: %v", len(late.Events), kinds)
		}
		started := time.Now()
		var none wireEvents
		f.get("/v1/cache_events?after=150&wait_ms=300", &none)
		if waited := time.Since(started); waited < 300*time.Millisecond || none.Next != 150 {
			t.Errorf("waited %s for %+v", waited, none)
		}
	})
}

type wireLoad struct {
	Incarnation string   `json:"incarnation"`
	Progress    uint64   `json:"progress"`
	Weights     []string `json:"weights"`
	Running     int      `json:"running"`
	Leaving     bool     `json:"leaving"`
}

func TestLoadLagsButProgressDoesNot(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{LoadLag: 400 * time.Millisecond}, func(f *fixture) {
		var wait sync.WaitGroup
		wait.Go(func() { _, _, _, _ = f.chat("r1", "q", 100) })
		time.Sleep(200 * time.Millisecond)
		var early, late wireLoad
		f.get("/v1/load", &early)
		time.Sleep(400 * time.Millisecond)
		f.get("/v1/load", &late)
		if early.Running != 0 || late.Running != 1 {
			t.Errorf("running %d, then %d", early.Running, late.Running)
		}
		if early.Progress == 0 || late.Progress <= early.Progress {
			t.Errorf("progress %d, then %d", early.Progress, late.Progress)
		}
		wait.Wait()
	})
}

func TestAnswerDependsOnlyOnPrompt(t *testing.T) {
	whole := engineemulator.Answer("p", 10)
	if !strings.HasPrefix(whole, engineemulator.Answer("p", 4)) || whole == engineemulator.Answer("q", 10) {
		t.Errorf("answers %q and %q", whole, engineemulator.Answer("q", 10))
	}
	for word := range strings.FieldsSeq(whole) {
		if len(word) != 9 || word[0] != 'w' {
			t.Errorf("token %q", word)
		}
	}
}
