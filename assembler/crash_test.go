package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// contactTime is the time in which all daemons know of a crash.
	contactTime = 3 * time.Second
	// maxRunsAfterContact is how many requests with a part that crashes engines may run once the fifth crash is known.
	maxRunsAfterContact = 3
)

// crashes counts the crashes of all engines.
func (f *fleet) crashes() (count int) {
	for _, engine := range f.engines {
		count += engine.Crashes()
	}
	return count
}

// callWithParts sends a model call whose prompt has the shared parts and one of its own.
func (f *fleet) callWithParts(d *daemon, route, id, shared string) reply {
	return f.call(d, http.MethodPost, "/"+route+"/x", id, "prompt "+id, "X-Model", model, "X-Token-Count", "300,6", "X-Prompt-Prefix", shared+",0"+id+":50")
}

// Guards against requests that differ but share one part of their prompts crashing one engine after another (BUDGET).
func TestRequestsWithPartThatCrashesEnginesAreRefused(t *testing.T) {
	for _, c := range []struct{ name, route, tainted, sound string }{
		{"last shared part", "tell", "common:100,bad:100", "common:100,good:100"},
		{"first part", "tell", "bad:100,common:100", "good:100,common:100"},
		{"resumable", "ask", "common:100,bad:100", "common:100"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 2)
			for _, engine := range f.engines {
				engine.SetFaults(hostingemulator.TargetFaults{CrashOnPart: "bad"})
			}
			requests := 0
			send := func(shared string) reply {
				requests++
				return f.callWithParts(f.daemons[requests%len(f.daemons)], c.route, fmt.Sprint(requests), shared)
			}
			for refused := 0; refused < 5 && f.crashes() < 5; {
				f.await("sound requests are served", func() bool { return send(c.sound).status == 200 })
				if send(c.tainted).status == 503 {
					refused++
				}
			}
			time.Sleep(contactTime)
			known := f.crashes()
			for range 8 {
				f.await("sound requests are served", func() bool { return send(c.sound).status == 200 })
				send(c.tainted)
			}
			if more := f.crashes() - known; more > maxRunsAfterContact {
				t.Errorf("%d more requests with the part crashed engines after %d had", more, known)
			}
			served := 0
			for range 20 {
				if r := send(c.sound); r.status == 200 && r.err == nil {
					served++
				}
			}
			if served < 20 {
				t.Errorf("%d of 20 sound requests that share the other parts were served", served)
			}
		})
	}
}
