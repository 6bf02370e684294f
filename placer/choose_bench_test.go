package placer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// benchmarkTargets is the number of targets of a service among which the benchmarks choose.
const benchmarkTargets = 480

// BenchmarkChooseBusy guards against a choice that takes longer than the share of a core that the control plane may use.
func BenchmarkChooseBusy(b *testing.B) {
	for name, call := range map[string]func(i int) placer.Call{
		"long":  func(i int) placer.Call { return longCall(fmt.Sprint(i % 200)) },
		"short": func(int) placer.Call { return shortCall() },
		"plain": func(int) placer.Call { return placer.Call{Service: service} },
	} {
		b.Run(name, func(b *testing.B) { benchmarkChoose(b, call, nil) })
		b.Run(name+", crossing", func(b *testing.B) {
			benchmarkChoose(b, call, balancer.New(balancer.Settings{DataCentre: "north", Now: time.Now, GigabyteCost: func() float64 { return 5_000 }}))
		})
	}
}

func benchmarkChoose(b *testing.B, call func(i int) placer.Call, crossing placer.Crossing) {
	now := time.Unix(1_000_000, 0)
	p := placer.New(placer.Settings{DataCentre: "north", Now: func() time.Time { return now }, VersionBound: versionBound, Crossing: crossing})
	p.SetEngines(map[string]placer.Engine{service: {CacheTokens: 100_000, TokenBytes: 18_000, LinkBitsPerSecond: 180e9}})
	described := targets(benchmarkTargets, 1)
	for i := range described {
		described[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		described[i].DataCentre = []string{"north", "south", "east", "west"}[i%4]
	}
	p.SetTargets(described)
	p.SetPeers(make([]string, 369))
	var open []placer.Choice
	step := func(i int) {
		choice, err := p.Choose(call(i), nil)
		if err != nil {
			b.Fatal(err)
		}
		now = now.Add(time.Millisecond)
		open = append(open, choice)
		if len(open) > 2*benchmarkTargets {
			open[0].Attempt.RecordLoad(placer.LoadReport{Requests: 2, WorkPercent: 60 + i%40})
			open[0].Attempt.RecordFirstEvent()
			open[0].Attempt.Finish()
			open = open[1:]
		}
	}
	for i := range 4 * benchmarkTargets {
		step(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		step(i)
		if i%64 == 0 {
			p.Export()
		}
	}
}
