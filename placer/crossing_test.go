package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// fakeCrossing sends all requests to one data centre, and records what it is told.
type fakeCrossing struct {
	to      string
	request balancer.Request
	options []balancer.Option
	told    []string
}

func (c *fakeCrossing) Choose(request balancer.Request, options []balancer.Option) (index int, chosen bool) {
	c.request, c.options = request, slices.Clone(options)
	index = slices.IndexFunc(options, func(o balancer.Option) bool { return o.DataCentre == c.to })
	return max(index, 0), index >= 0
}

func (c *fakeCrossing) WorthMoving(int, time.Duration, time.Duration) bool { return false }

func (c *fakeCrossing) RecordAnswer(dataCentre string) { c.tell("answer " + dataCentre) }

func (c *fakeCrossing) RecordFailure(dataCentre string) { c.tell("failure " + dataCentre) }

func (c *fakeCrossing) RecordRoundTrip(dataCentre string, _ time.Duration) {
	c.tell("trip " + dataCentre)
}

func (c *fakeCrossing) tell(what string) { c.told = append(c.told, what) }

// The data centre that Settings.Crossing names gets the request and learns what the placer sees of each. Cached parts that are not
// worth their move are prefilled again.
func TestCrossingChoosesDataCentre(t *testing.T) {
	f, crossing := newFixture(t, 0), &fakeCrossing{to: "south"}
	f.placer = placer.New(placer.Settings{DataCentre: "north", Now: func() time.Time { return f.now }, VersionBound: versionBound, Crossing: crossing})
	described := targets(4, 1)
	for i := range described {
		described[i].DataCentre = []string{"south", "north"}[i%2]
	}
	f.placer.SetTargets(described)
	call := longCall("book")
	call.BodyBytes, call.Objective = 5_000, time.Second
	choice := f.choose(call)
	request := crossing.request
	if choice.Target.DataCentre != "south" || len(crossing.options) != 2 || crossing.options[1].FreeSlots != 32 ||
		request.Objective != time.Second || request.Bytes < 5_000 || request.Daemons != 1 || !request.ServedAtHome {
		t.Errorf("%s was chosen among %+v for %+v", choice.Target.DataCentre, crossing.options, request)
	}
	choice.Attempt.RecordLoad(placer.LoadReport{Requests: 1})
	choice.Attempt.RecordFirstEvent()
	f.choose(shortCall(), choice.Target.ID).Attempt.RecordConnectionFailure()
	f.placer.RecordConnect(described[1].Address, time.Millisecond)
	if want := []string{"answer south", "failure south", "trip north"}; !slices.Equal(crossing.told, want) {
		t.Errorf("told %q, want %q", crossing.told, want)
	}
	crossing.to = "north"
	if choice := f.choose(call); choice.FetchFrom.IsValid() || choice.PrefillTokens != 14_000 {
		t.Errorf("%d tokens to prefill, fetched from %s", choice.PrefillTokens, choice.FetchFrom)
	}
	crossing.to = "west"
	if _, err := f.placer.Choose(call, nil); err == nil {
		t.Error("a request that may leave for no data centre, and that none at home can take, was sent")
	}
}
