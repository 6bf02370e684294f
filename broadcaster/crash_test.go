package broadcaster_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

func TestStrikesAndCompletionsAreEncoded(t *testing.T) {
	want := broadcaster.Message{Sender: "d1", Update: placer.PeerUpdate{
		Strikes: []attributor.Strike{
			{Cause: 1 << 63, Incarnation: 5, Age: 1500 * time.Millisecond, Ended: true},
			{Cause: 2, Incarnation: 1 << 63},
		},
		Completions: []attributor.Completion{{Cause: 3, Age: time.Second}, {Cause: 4}},
	}}
	datagrams := want.Encode()
	if len(datagrams) != 1 {
		t.Fatalf("%d datagrams", len(datagrams))
	}
	if decoded, err := broadcaster.Decode(datagrams[0]); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
}

// Strikes and completions of one daemon reach all others, also through aggregators.
func TestStrikesAndCompletionsReachTheFleet(t *testing.T) {
	for _, count := range []int{9, 40} {
		f := newSimulatedFleet(count, 3)
		f.run(t, 2*time.Second)
		strike, completion := attributor.Strike{Cause: 7, Incarnation: 8, Ended: true}, attributor.Completion{Cause: 9}
		f.daemons[1].own.Strikes = []attributor.Strike{strike}
		f.daemons[1].own.Completions = []attributor.Completion{completion}
		f.run(t, maxWorkAge)
		for i, d := range f.daemons {
			if i != 1 && (len(d.strikes) == 0 || d.strikes[0] != strike || len(d.completions) == 0 || d.completions[0] != completion) {
				t.Errorf("daemon %d of %d got strikes %+v and completions %+v", i, count, d.strikes, d.completions)
			}
		}
	}
}
