package runner_test

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	moveKey         = "crew-key"
	moveBlockTokens = 256
	moveDocuments   = 6
)

// TestDrainMovesCachedBlocks drains the engine that computed most prompt tokens. The daemon has to
// move its cached blocks to the other engine.
func TestDrainMovesCachedBlocks(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.Close)
	daemon := startDaemon(t, loopbackSettings(t, "one", netip.MustParseAddrPort(platformServer.Listener.Addr().String()), nil))
	objects := registrar.Objects{
		Accounts:  []registrar.Account{{Name: "crew", KeyDigests: []registrar.KeyDigest{sha256.Sum256([]byte(moveKey))}}},
		Models:    []registrar.Model{{Name: "m", DefaultVersion: "v", BlockTokens: moveBlockTokens, MaxContextTokens: 1 << 20, Routing: registrar.RoutingWeights{Wait: 1, Recomputation: 1}}},
		Versions:  []registrar.Version{{Name: "v", Model: "m", Weights: "w"}},
		Selectors: []registrar.Selector{{Name: "all", Effect: registrar.EffectAllow}},
	}
	var engines []*engineemulator.Engine
	for i := range 2 {
		engine := engineemulator.New(engineemulator.Settings{Weights: []string{"w"}, BlockTokens: moveBlockTokens, PrefillTokensPerSecond: 200_000})
		t.Cleanup(func() { _ = engine.Close() })
		if err := engine.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Fatal(err)
		}
		engines = append(engines, engine)
		objects.Targets = append(objects.Targets, registrar.Target{
			Name: fmt.Sprint("t", i), Kind: registrar.TargetEngine, Address: engine.Address(), DataCentre: "sapporo", Model: "m", Slots: 8,
		})
	}
	await(t, "the commit", func() bool {
		_, err := daemon.Commit(t.Context(), 0, registrar.Change{Set: objects})
		return err == nil
	})
	await(t, "readiness", func() bool { return len(daemon.NotReady()) == 0 })
	for range 3 {
		for document := range moveDocuments {
			complete(t, daemon.CallersAddress(), document)
		}
	}
	drained := 0
	if engines[1].Counters().ComputedTokens > engines[0].Counters().ComputedTokens {
		drained = 1
	}
	leaving := objects.Targets[drained]
	leaving.Labels = registrar.Labels{registrar.LabelDrain: "true"}
	await(t, "the drain", func() bool {
		_, err := daemon.Commit(t.Context(), daemon.Current().Revision(), registrar.Change{Set: registrar.Objects{Targets: []registrar.Target{leaving}}})
		return err == nil
	})
	await(t, "a move", func() bool { return engines[1-drained].Counters().ImportedBlocks > 0 })
}

func complete(t *testing.T, daemon netip.AddrPort, document int) {
	t.Helper()
	text := strings.Repeat(fmt.Sprintf("spec book %d of the wheels ", document), moveBlockTokens*2)
	body := fmt.Sprintf(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":%q}]}`, text)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+daemon.String()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+moveKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v: %s", response.StatusCode, err, answer)
	}
}
