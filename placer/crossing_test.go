package placer_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// fakeCrossing sends all requests to one data centre.
type fakeCrossing struct {
	to       string
	requests []balancer.Request
	options  []balancer.Option
	trips    map[string]time.Duration
	answers  []string
	failures []string
}

func (c *fakeCrossing) Choose(request balancer.Request, options []balancer.Option) (index int, chosen bool) {
	c.requests, c.options = append(c.requests, request), append([]balancer.Option(nil), options...)
	for i, option := range options {
		if option.DataCentre == c.to {
			return i, true
		}
	}
	return 0, false
}

func (c *fakeCrossing) WorthMoving(int, time.Duration, time.Duration) bool { return false }
func (c *fakeCrossing) RecordAnswer(dataCentre string)                     { c.answers = append(c.answers, dataCentre) }

func (c *fakeCrossing) RecordFailure(dataCentre string) { c.failures = append(c.failures, dataCentre) }

func (c *fakeCrossing) RecordRoundTrip(dataCentre string, took time.Duration) {
	c.trips[dataCentre] = took
}

// newCrossedPlacer returns a placer in "north" with two engines there and two in "south".
func newCrossedPlacer(crossing placer.Crossing) (p *placer.Placer, described []placer.Target) {
	now := time.Unix(1_000_000, 0)
	p = placer.New(placer.Settings{DataCentre: "north", Now: func() time.Time { return now }, VersionBound: versionBound, Crossing: crossing})
	p.SetEngines(map[string]placer.Engine{service: {CacheTokens: 100_000, TokenBytes: 18_000, LinkBitsPerSecond: 180e9}})
	described = targets(4, 1)
	for i := range described {
		described[i].DataCentre = []string{"south", "north"}[i%2]
	}
	p.SetTargets(described)
	return p, described
}

// The data centre that Settings.Crossing names gets the request, and learns what the placer sees of each.
func TestCrossingChoosesDataCentre(t *testing.T) {
	crossing := &fakeCrossing{to: "south", trips: make(map[string]time.Duration)}
	p, described := newCrossedPlacer(crossing)
	call := shortCall()
	call.BodyBytes, call.Objective = 5_000, time.Second
	choice, err := p.Choose(call, nil)
	if err != nil || choice.Target.DataCentre != "south" {
		t.Fatalf("the request went to %q: %v", choice.Target.DataCentre, err)
	}
	choice.Attempt.RecordLoad(placer.LoadReport{Requests: 1})
	choice.Attempt.RecordConnectionFailure()
	p.RecordConnect(described[1].Address, 3*time.Millisecond)
	p.RecordConnect(netip.MustParseAddrPort("10.9.9.9:1"), time.Second)
	request := crossing.requests[0]
	switch {
	case len(crossing.options) != 2 || crossing.options[1].FreeSlots != 32:
		t.Errorf("options: %+v", crossing.options)
	case request.Objective != time.Second || request.Bytes < 5_000 || request.Daemons != 1 || !request.ServedAtHome:
		t.Errorf("request: %+v", request)
	case len(crossing.answers) != 1 || len(crossing.failures) != 1 || crossing.failures[0] != "south":
		t.Errorf("answers of %v, failures of %v", crossing.answers, crossing.failures)
	case len(crossing.trips) != 1 || crossing.trips["north"] != 3*time.Millisecond:
		t.Errorf("round trips: %v", crossing.trips)
	}
}

// A request that may leave for no data centre is refused, since nothing at home can take it.
func TestCrossingKeepsRequest(t *testing.T) {
	p, _ := newCrossedPlacer(&fakeCrossing{to: "west"})
	_, err := p.Choose(shortCall(), nil)
	var none *placer.NoTargetError
	if !errors.As(err, &none) {
		t.Errorf("got %v", err)
	}
}

// Cached parts whose move costs more than it saves are prefilled again, though another data centre holds them.
func TestPartsStayInTheirDataCentre(t *testing.T) {
	crossing := &fakeCrossing{to: "south"}
	p, _ := newCrossedPlacer(crossing)
	holder, err := p.Choose(longCall("book"), nil)
	if err != nil {
		t.Fatal(err)
	}
	holder.Attempt.RecordFirstEvent()
	holder.Attempt.Finish()
	crossing.to = "north"
	if choice, err := p.Choose(longCall("book"), nil); err != nil || choice.FetchFrom.IsValid() || choice.PrefillTokens != 14_000 {
		t.Errorf("%d tokens to prefill, fetched from %s: %v", choice.PrefillTokens, choice.FetchFrom, err)
	}
}
