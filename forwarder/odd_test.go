package forwarder_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// Guards against an engine whose one odd cache event keeps a daemon at the position before it for ever (stopped following).
func TestOddCacheEventSpoilsNoOther(t *testing.T) {
	const block = `"block":"00000000000000000000000000000001"`
	for _, odd := range []string{
		`7`, `null`, `[]`, `{"seq":2,"kind":"stored",` + block + `,"tokens":1e400}`, `{"seq":18446744073709551616,"kind":"stored",` + block + `,"tokens":1}`,
		`{"seq":2,"kind":7,` + block + `,"tokens":1}`, `{"seq":2,"kind":"stored","block":[],"tokens":1}`, `{"seq":2,"kind":"stored",` + block + `,"tokens":-1}`,
	} {
		client := forwarder.New(forwarder.Settings{Transport: cannedBody(`{"incarnation":"7","next":4,"events":[{"seq":1,"kind":"stored",` + block +
			`,"tokens":4},` + odd + `,{"seq":3,"kind":"evicted",` + block + `,"tokens":4}]}`)})
		events, err := client.CacheEvents(t.Context(), netip.MustParseAddrPort("10.0.0.1:80"), 0, time.Second)
		if err != nil || events.Next != 4 || len(events.Events) != 2 || events.Events[0].Seq != 1 || events.Events[1].Seq != 3 {
			t.Errorf("%s: %+v, %v", odd, events, err)
		}
	}
}
