package assembler

import (
	"net/netip"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// newCrossing returns what decides which requests leave their data centre, or nil if the settings named no cost at the start.
// A cost that changes later takes effect at once.
func (d *Daemon) newCrossing() placer.Crossing {
	if d.settings.Hosted.CrossDataCentreGigabyteCost <= 0 {
		return nil
	}
	return balancer.New(balancer.Settings{
		DataCentre: d.settings.DataCentre, Now: time.Now,
		GigabyteCost:      func() float64 { return d.hosted.Load().CrossDataCentreGigabyteCost },
		CacheGigabyteCost: func() float64 { return d.hosted.Load().CrossDataCentreCacheGigabyteCost }, Logger: d.loggerFor("balancer"),
		Observe: func(dataCentre string, reason balancer.Reason, bytes int) {
			d.observer.Metrics().CountCrossing(dataCentre, string(reason), bytes)
		},
	})
}

// recordConnect tells the placer how long a connection to a target took.
func (d *Daemon) recordConnect(address netip.AddrPort, took time.Duration) {
	d.view.placer.RecordConnect(address, took)
}
