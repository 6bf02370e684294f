package runner

import (
	"context"

	"github.com/zeebo/errs"
)

// registerGauges registers gauges that compute their value whenever the metrics are scraped.
func (d *Daemon) registerGauges(context.Context) error {
	metrics := d.observer.Metrics()
	var group errs.Group
	group.Add(metrics.Gauge("rill_revision", "Revision of the configuration in force.",
		func() int64 { return int64(d.applied.Load()) }))
	group.Add(metrics.Gauge("rill_active_alarms", "Alarms of the configuration that still hold.", d.activeAlarms))
	group.Add(metrics.Gauge("rill_live_daemons", "Live daemons of the data centre, this one included.",
		func() int64 { return int64(len(d.gossip.Peers()) + 1) }))
	group.Add(metrics.Gauge("rill_usable_targets", "Targets that may get new work.", d.usableTargets))
	for _, gauge := range d.memory.Gauges(d.callersServer.Connections) {
		group.Add(metrics.Gauge(gauge.Name, gauge.Description, gauge.Read))
	}
	return group.Err()
}

func (d *Daemon) activeAlarms() int64 {
	active := int64(0)
	for _, alarm := range d.configuration.Alarms() {
		if alarm.Active {
			active++
		}
	}
	return active
}

func (d *Daemon) usableTargets() int64 {
	usable := int64(0)
	objects := d.configuration.Current().Objects()
	for i := range objects.Targets {
		if d.detector.Usable(objects.Targets[i].Name) {
			usable++
		}
	}
	return usable
}
