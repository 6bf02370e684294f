package launcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/checker"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/launcher"
)

const (
	// silence is how long the engine is silent, beginning silenceAfter after the start of a stream of some two seconds.
	silence      = 2 * time.Second
	silenceAfter = 700 * time.Millisecond
	// silencePause is the time between two streams, in which the engine counts as usable again.
	silencePause = 2 * time.Second
)

// Guards against streams that are ended while their engine, which is sound, is silent for a while (LOST), though no other engine could
// go on with them.
func TestSilenceOfTheOnlyEngineEndsNoStream(t *testing.T) {
	engine := engineemulator.Settings{PrefillTokensPerSecond: 2e6, DecodeStep: 50 * time.Millisecond, CacheBlocks: 64}
	fleet, err := launcher.Start(t.Context(), launcher.Settings{Engines: 1, Daemons: 1, Engine: engine, LogOutput: &lockedBuffer{}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fleet.Close() }()
	for i := range 3 {
		time.AfterFunc(silenceAfter, func() { fleet.Engines[0].SetFaults(engineemulator.Faults{Freeze: true}) })
		time.AfterFunc(silenceAfter+silence, func() { fleet.Engines[0].SetFaults(engineemulator.Faults{}) })
		if result := caller(fleet, 0).Stream(t.Context(), fmt.Sprint("question ", i), 40); result.Verdict != checker.Complete {
			t.Errorf("stream %d: %+v", i, result)
		}
		time.Sleep(silencePause)
	}
}
