package assembler_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

// narrowReceiver is the receive buffer in bytes of targets that block a long upload. longUpload is a body below the configured limit.
const (
	narrowReceiver = 4 << 10
	longUpload     = 1<<20 - 1
)

// useNarrowTargets replaces the targets of a fleet by one engine and one service with narrow receive buffers.
func (f *fleet) useNarrowTargets() (targets []*hostingemulator.Target) {
	f.t.Helper()
	for _, target := range append(f.engines, f.services...) {
		_ = target.Close()
	}
	for i := range 3 {
		f.store.Delete(fmt.Sprint("servers/engine-", i))
		f.store.Delete(fmt.Sprint("servers/service-", i))
	}
	f.engines, f.services = nil, nil
	for service, model := range map[string]string{"engines": model, "services": ""} {
		target := hostingemulator.NewTarget(hostingemulator.TargetSettings{
			ID: "narrow-" + service, Service: service, Zone: "north", Store: f.store, Model: model, Slots: 8, StreamEvents: 6,
			EventInterval: 5 * time.Millisecond, ReceiveBuffer: narrowReceiver,
		})
		if err := target.Listen(netip.MustParseAddrPort(loopback)); err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = target.Close() })
		targets = append(targets, target)
	}
	return targets
}

// Guards against a part of an answer that reaches its caller as the whole one, since the target answered a long upload at once,
// without a length, and reset the connection while the upload was being written (MIXED, ORDER). The longer answers are passed on in
// part before they end.
func TestAnswerCutDuringUploadIsNoSuccess(t *testing.T) {
	f := newFleet(t, 0)
	targets := f.useNarrowTargets()
	d := f.start(0)
	body := strings.Repeat("b", longUpload) // Its end differs, since a request that crashes targets is refused.
	reached := 0
	for _, bytes := range []int{100, 300 << 10} {
		for _, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			for _, target := range targets {
				target.SetFaults(hostingemulator.TargetFaults{EarlyAnswer: bytes, EarlyReset: wait})
			}
			for _, path := range []string{"/order/x", "/look/x", "/tell/x", "/ask/x"} {
				for i := range 8 {
					id := fmt.Sprint(path, bytes, wait, i)
					r := f.call(d, http.MethodPost, path, id, body[len(id):]+id, "X-Model", model, "X-Token-Count", "300,6", "X-Prompt-Prefix", id+":300")
					if r.err == nil && r.status < http.StatusBadRequest {
						t.Errorf("%s got %d and %d bytes as the whole answer", id, r.status, len(r.body))
					}
					runs := len(runsOf(targets, id))
					reached += min(runs, 1)
					if path == "/order/x" && runs > 1 {
						t.Errorf("%s ran %d times", id, runs)
					}
				}
			}
		}
	}
	if reached < 20 {
		t.Errorf("only %d requests reached a target", reached)
	}
	for _, target := range targets {
		target.SetFaults(hostingemulator.TargetFaults{})
	}
	f.await("answer of a sound target", func() bool { return f.call(d, http.MethodPost, "/order/x", "sound", "small").status == http.StatusOK })
}

// Guards against three digits that are no status and reach a caller as an answer, or hold the request until its deadline (MIXED, CONFIG).
func TestNumberThatIsNoStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		f := newFleet(t, 1)
		targets := append(f.engines, f.services...)
		for _, target := range targets {
			target.SetFaults(hostingemulator.TargetFaults{Status: status})
		}
		for _, path := range []string{"/order/x", "/look/x", "/tell/x", "/ask/x"} {
			id, began := path+status, time.Now()
			r := f.call(f.daemons[0], http.MethodPost, path, id, id, "X-Model", model, "X-Token-Count", "300,6", "X-Prompt-Prefix", id+":300")
			if r.err != nil || r.status != http.StatusBadGateway || time.Since(began) > f.routeTimeout/2 {
				t.Errorf("%s got %d, %v after %s", id, r.status, r.err, time.Since(began))
			}
			if runs := len(runsOf(targets, id)); runs == 0 || path == "/order/x" && runs > 1 {
				t.Errorf("%s ran %d times", id, runs)
			}
		}
	}
}
