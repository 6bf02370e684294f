package runner

import (
	"context"

	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// startRequestPath creates the limiters, the streamer and the mover that serve callers' requests.
func (d *Daemon) startRequestPath(context.Context) error {
	d.modelLimiter = limiter.New(limiter.Settings{Name: d.settings.Name, Capacity: d.settings.Limits.MaxConcurrent, MaxQueue: d.settings.Limits.QueueLength})
	d.serviceLimiter = limiter.New(limiter.Settings{Name: d.settings.Name, Capacity: d.settings.Limits.MaxConcurrent, MaxQueue: d.settings.Limits.QueueLength})
	d.selectorLimiter = limiter.New(limiter.Settings{Name: d.settings.Name, Capacity: d.settings.Limits.MaxConcurrent, MaxQueue: d.settings.Limits.QueueLength})
	d.streamer = streamer.New(streamer.Settings{
		Engines:        streamer.NewEngineClient(d.targetClient),
		Tracer:         d.observer.Tracer(),
		StallDetector:  d.detector,
		Progress:       d.detector,
		AttemptTracker: d.detector,
		Failures:       d.detector,
		Hints:          d.pools,
		Logger:         d.observer.Log("streamer"),
	})
	return d.startMover()
}
