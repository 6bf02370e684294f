package runner

import (
	"context"

	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// startCalls creates the limiters, the streamer and the mover that serve callers' requests.
func (d *Daemon) startCalls(context.Context) error {
	d.models = limiter.New(limiter.Settings{Name: d.settings.Name, Capacity: d.settings.Limits.MaxConcurrent, MaxQueue: d.settings.Limits.QueueLength})
	d.services = limiter.New(limiter.Settings{Name: d.settings.Name, Capacity: d.settings.Limits.MaxConcurrent, MaxQueue: d.settings.Limits.QueueLength})
	d.selectors = limiter.New(limiter.Settings{Name: d.settings.Name, Capacity: d.settings.Limits.MaxConcurrent, MaxQueue: d.settings.Limits.QueueLength})
	d.streams = streamer.New(streamer.Settings{
		Engines:     streamer.NewEngines(d.targets),
		Tracer:      d.observer.Tracer(),
		Liveness:    d.detector,
		Progress:    d.detector,
		CallTracker: d.detector,
		Failures:    d.detector,
		Hints:       d.pools,
		Logger:      d.observer.Log("streamer"),
	})
	return d.startMover()
}
