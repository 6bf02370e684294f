package runner

import (
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/invoker"
	"github.com/rosemaryrill/rosemaryrill/poller"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	// pollingDaemons is how many daemons of a data centre ask each target.
	pollingDaemons = 2
	// fewTargets is how many targets each daemon asks by itself; only beyond that are they
	// spread over the daemons of the data centre.
	fewTargets  = 32
	labelTrue   = "true"
	warmTimeout = 3 * time.Second
)

func (d *Daemon) startTargets(context.Context) error {
	d.targets = forwarder.New(forwarder.Settings{Wire: d.wire("targets")})
	d.detector = detector.New(detector.Settings{
		Poller: loadPoller{daemon: d},
		Polls:  d.assigned,
		Logger: d.observer.Log("detector"),
	})
	d.liveness = liveness{detector: d.detector}
	d.pools = pooler.New(pooler.Settings{
		Daemon:     d.settings.Name,
		DataCentre: d.settings.DataCentre,
		Liveness:   d.liveness,
		Log:        d.observer.Log("pooler"),
	})
	d.poller = poller.New(poller.Settings[forwarder.CacheEvents]{Engines: d.targets, Observer: d.pools, Assigned: d.assigned})
	return nil
}

// loadPoller asks targets for the detector and passes their load on to the pools.
type loadPoller struct {
	daemon *Daemon
}

// Poll implements detector.Poller.
func (p loadPoller) Poll(ctx context.Context, target detector.Target, fresh bool) (report detector.Report, err error) {
	load, err := detector.PollLoad(ctx, p.daemon.targets, target, fresh)
	if err != nil {
		return detector.Report{}, err
	}
	if !target.Service {
		p.daemon.pools.ObserveLoad(target.Name, load)
		p.daemon.reports.heard(target.Name, load)
		p.daemon.alive(ctx, target.Name, load.Incarnation)
	}
	p.daemon.warm.saw(target.Name)
	return detector.ReportOf(load), nil
}

// applyTargets tells the parts which targets to ask.
func (d *Daemon) applyTargets(objects registrar.Objects) {
	var watched []detector.Target
	var engines []poller.Target
	for _, target := range d.pools.Targets() {
		watched = append(watched, detector.Target{Name: target.Name, Address: target.Address})
		engines = append(engines, poller.Target{Name: target.Name, Address: target.Address})
	}
	for i := range objects.Targets {
		target := &objects.Targets[i]
		if target.Kind == registrar.TargetService {
			watched = append(watched, detector.Target{Name: target.Name, Address: target.Address, Service: true})
		}
	}
	d.manyTargets.Store(len(watched) > fewTargets)
	d.warm.expect(len(watched))
	d.detector.SetTargets(watched)
	for i := range objects.Targets {
		target := &objects.Targets[i]
		d.detector.ObserveDrain(target.Name, target.Labels[registrar.LabelDrain] == labelTrue)
	}
	d.poller.SetTargets(engines)
}

// assigned says whether this daemon asks the target. Many targets are spread over the daemons
// of the data centre.
func (d *Daemon) assigned(target string) bool {
	return !d.manyTargets.Load() || d.assignment.holds(target)
}

// followTargets puts each change of a target's state in force, and tells the peers of it at
// once.
func (d *Daemon) followTargets() {
	changes := d.detector.Changes()
	defer func() { _ = changes.Close() }()
	for {
		select {
		case <-d.stop:
			return
		case change := <-changes.C():
			d.pools.Refresh()
			d.moveCache(change)
			d.announceTarget(change)
			d.judgeCrash(change)
		}
	}
}

func (d *Daemon) announceTarget(change detector.Change) {
	if change.After.State == detector.Live || change.After.Reason == detector.ReasonPeer {
		return
	}
	data := d.observations.encodeTargets([]string{change.Target})
	d.gossip.Announce(sectionOf(topicTargets, data))
}

// liveness gives the other parts what the detector knows.
type liveness struct {
	detector *detector.Detector
}

var (
	_ pooler.Liveness  = liveness{}
	_ invoker.Liveness = liveness{}
)

// Usable says whether the target may get new work.
func (l liveness) Usable(target string) bool { return l.detector.Usable(target) }

// Incarnation returns the last one that was seen.
func (l liveness) Incarnation(target string) string { return l.detector.State(target).Incarnation }

// Refused is told that a target refuses connections.
func (l liveness) Refused(target string) { l.detector.ObserveRefused(target) }

// Begin is told that a call starts at a target.
func (l liveness) Begin(target string) (end func()) { return l.detector.Begin(target) }
