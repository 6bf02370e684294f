package broadcaster_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

func TestDeparturesAreEncoded(t *testing.T) {
	want := broadcaster.Message{Sender: "d1", Update: placer.PeerUpdate{Departures: []placer.TargetHash{1 << 63, 2}}}
	if decoded, err := broadcaster.Decode(want.Encode()[0]); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
	if want.Update.Empty() {
		t.Error("an update with a departure counts as empty, so it may not be sent")
	}
}

// Guards against daemons that don't hear which targets are leaving (DRAIN): what one daemon was told reaches all others, also
// through aggregators.
func TestDeparturesReachTheFleet(t *testing.T) {
	for _, count := range []int{9, 40} {
		f := newSimulatedFleet(count, 3)
		f.run(t, 2*time.Second)
		f.daemons[1].own.Departures = []placer.TargetHash{7}
		f.run(t, maxWorkAge)
		for i, d := range f.daemons {
			if i != 1 && (len(d.departures) == 0 || d.departures[0] != 7) {
				t.Errorf("daemon %d of %d got %v", i, count, d.departures)
			}
		}
	}
}
