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
	// pollersPerTarget is how many daemons of a data centre poll each target.
	pollersPerTarget = 2
	// maxTargetsPolledByAll is the largest number of targets of which every daemon polls all. More
	// targets are distributed over the daemons of the data centre.
	maxTargetsPolledByAll = 32
	labelTrue             = "true"
	warmUpTimeout         = 3 * time.Second
)

func (d *Daemon) startTargets(context.Context) error {
	d.targetClient = forwarder.New(forwarder.Settings{ByteCounter: d.byteCounter("targets"), Memory: d.memory.Answers()})
	d.detector = detector.New(detector.Settings{
		Poller:     loadPoller{daemon: d},
		ShouldPoll: d.assigned,
		Logger:     d.observer.Log("detector"),
	})
	d.liveness = liveness{detector: d.detector}
	d.pools = pooler.New(pooler.Settings{
		Daemon:     d.settings.Name,
		DataCentre: d.settings.DataCentre,
		Liveness:   d.liveness,
		Log:        d.observer.Log("pooler"),
	})
	d.poller = poller.New(poller.Settings[forwarder.CacheEvents]{Engines: d.targetClient, Observer: d.pools, Assigned: d.assigned, Logger: d.observer.Log("poller")})
	return nil
}

// loadPoller polls targets for the detector and passes their load on to the pools.
type loadPoller struct {
	daemon *Daemon
}

// Poll implements detector.Poller.
func (p loadPoller) Poll(ctx context.Context, target detector.Target, fresh bool) (report detector.Report, err error) {
	load, err := detector.PollLoad(ctx, p.daemon.targetClient, target, fresh)
	if err != nil {
		return detector.Report{}, err
	}
	if !target.Service {
		p.daemon.pools.ObserveLoad(target.Name, load)
		p.daemon.engineReports.observeDirect(target.Name, load)
		p.daemon.observeAlive(ctx, target.Name, load.Incarnation)
	}
	p.daemon.warmUpTracker.observe(target.Name)
	return detector.ReportOf(load), nil
}

// applyTargets passes the targets of the configuration to the detector and the poller.
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
	d.distributePolling.Store(len(watched) > maxTargetsPolledByAll)
	d.warmUpTracker.setExpected(len(watched))
	d.detector.SetTargets(watched)
	for i := range objects.Targets {
		target := &objects.Targets[i]
		d.detector.ObserveDrain(target.Name, target.Labels[registrar.LabelDrain] == labelTrue)
	}
	d.poller.SetTargets(engines)
}

// assigned reports whether this daemon polls the target. More than maxTargetsPolledByAll targets
// are distributed over the daemons of the data centre.
func (d *Daemon) assigned(target string) bool {
	return !d.distributePolling.Load() || d.assignment.includes(target)
}

// followTargets handles each change of a target's state: it refreshes the pools, moves cached
// blocks, announces the change to the peers and updates the quarantine.
func (d *Daemon) followTargets() {
	changes := d.detector.Subscribe()
	defer func() { _ = changes.Close() }()
	for {
		select {
		case <-d.stop:
			return
		case change := <-changes.C():
			d.pools.Refresh()
			d.moveCachedBlocks(change)
			d.announceTarget(change)
			d.updateQuarantine(change)
		}
	}
}

// announceTarget broadcasts the observation of a target that is not live, without waiting for the
// next gossip exchange. Observations that came from a peer are not repeated.
func (d *Daemon) announceTarget(change detector.Change) {
	if change.After.State == detector.Live || change.After.Reason == detector.ReasonPeer {
		return
	}
	data := d.observationExporter.encodeObservations([]string{change.Target})
	d.gossip.Broadcast(sectionOf(topicTargets, data))
}

// liveness adapts the detector to the interfaces of the pooler and the invoker.
type liveness struct {
	detector *detector.Detector
}

var (
	_ pooler.Liveness  = liveness{}
	_ invoker.Liveness = liveness{}
)

// Usable reports whether the target may get new work.
func (l liveness) Usable(target string) bool { return l.detector.Usable(target) }

// Incarnation returns the last observed incarnation of the target.
func (l liveness) Incarnation(target string) string { return l.detector.Status(target).Incarnation }

// ReportUnreachable reports to the detector that a target refuses connections.
func (l liveness) ReportUnreachable(target string) { l.detector.ObserveRefused(target) }

// Begin reports to the detector that a call to the target starts. The caller calls end when the
// call is over.
func (l liveness) Begin(target string) (end func()) { return l.detector.Begin(target) }
