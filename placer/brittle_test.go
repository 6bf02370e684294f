package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against brittle targets that get more requests than they have slots, in fleets of any size whose daemons know nothing of each
// other's sends (LIMIT): what is sent beyond the slots can be refused without a crash.
func TestBrittleTargetsGetNoMoreThanTheirSlots(t *testing.T) {
	for _, daemons := range []int{1, 3, 9, 40, 195} {
		for _, slots := range []int{1, 6, 24} {
			for _, refusals := range []float64{0, 1, 3, 10} {
				now := time.Unix(1000, 0)
				names := make([]string, daemons)
				for i := range names {
					names[i] = fmt.Sprint("d", i)
				}
				sent := 0
				for i, name := range names {
					p := placer.New(placer.Settings{Name: name, Now: func() time.Time { return now }, VersionBound: time.Minute})
					p.SetPeers(append(append([]string(nil), names[:i]...), names[i+1:]...))
					p.SetTargets([]placer.Target{{ID: "a", Service: "s", Slots: slots}})
					choice, err := p.Choose(placer.Call{Service: "s"}, nil)
					if err != nil {
						t.Fatal(err)
					}
					choice.Attempt.RecordBrittle(refusals)
					choice.Attempt.Finish()
					for range 2 * slots {
						if _, err := p.Choose(placer.Call{Service: "s"}, nil); err == nil {
							sent++
						}
					}
				}
				if allowed := slots + max(int(refusals/2), 1); sent > allowed || sent < slots {
					t.Errorf("%d daemons sent %d requests to a target with %d slots that can refuse %.0f", daemons, sent, slots, refusals)
				}
			}
		}
	}
}

// Guards against targets that count as brittle for good, or no more since an older answer said nothing of it.
func TestBrittlenessEndsWithTheStatement(t *testing.T) {
	now := time.Unix(1000, 0)
	p := placer.New(placer.Settings{Name: "d", Now: func() time.Time { return now }, VersionBound: time.Minute})
	p.SetTargets([]placer.Target{{ID: "a", Service: "s", Slots: 1}})
	choose := func() *placer.Attempt {
		now = now.Add(time.Second)
		choice, err := p.Choose(placer.Call{Service: "s"}, nil)
		if err != nil {
			return nil
		}
		return choice.Attempt
	}
	older, open := choose(), choose()
	open.RecordBrittle(5)
	older.RecordNotBrittle()
	if choose() != nil {
		t.Error("an answer to an earlier request ended the statement")
	}
	older.Finish()
	open.Finish()
	newer := choose()
	newer.RecordNotBrittle()
	if choose() == nil || choose() == nil {
		t.Error("the target still counts as brittle")
	}
}
