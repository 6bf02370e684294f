package runner

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/rosemaryrill/rosemaryrill/commander"
	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

func (d *Daemon) startCommander(context.Context) error {
	d.commander = commander.New(commander.Settings{
		Daemon:        d.settings.Name,
		DataCentre:    d.settings.DataCentre,
		Store:         d.store,
		Engines:       commanderEngines{client: d.targetClient},
		Reports:       d.engineReports,
		Configuration: commanderConfiguration{configuration: d.configuration},
		MaxLoads:      d.settings.Limits.MaxLoads,
		Logger:        d.observer.Log("commander"),
	})
	return nil
}

// commanderConfiguration adapts a Configurator to commander.SnapshotSource.
type commanderConfiguration struct {
	configuration *configurator.Configurator
}

// Snapshot implements commander.SnapshotSource.
func (c commanderConfiguration) Snapshot() *registrar.Snapshot { return c.configuration.Current() }

// commanderEngines sends the commander's orders to engines.
type commanderEngines struct {
	client *forwarder.Client
}

// Order implements commander.OrderSender.
func (o commanderEngines) Order(ctx context.Context, target registrar.Target, order commander.Order) (state commander.OrderState, err error) {
	result, err := o.client.Order(ctx, target.Address, forwarder.Order{
		Kind:         forwarder.OrderKind(order.Kind),
		Weights:      order.Weights,
		Adapter:      order.Adapter,
		Role:         order.Role,
		FencingToken: order.FencingToken,
	})
	var stale *forwarder.StaleFencingTokenError
	if errors.As(err, &stale) {
		return "", &commander.StaleFencingTokenError{Target: target.Name, Sent: stale.Sent, Highest: stale.Highest}
	}
	return commander.OrderState(result), err
}

// engineReports keeps the newest report of each engine.
type engineReports struct {
	daemon *Daemon

	mu     sync.Mutex
	newest map[string]commander.Report
}

func newEngineReports(daemon *Daemon) *engineReports {
	return &engineReports{daemon: daemon, newest: make(map[string]commander.Report)}
}

// observeDirect stores a report that this daemon polled from the engine.
func (e *engineReports) observeDirect(target string, load forwarder.Load) {
	e.put(commander.Report{
		Target:      target,
		Incarnation: load.Incarnation,
		Weights:     load.Weights,
		Adapters:    load.Adapters,
		Role:        load.Role,
	})
}

// observePeer stores a peer's report on an engine: the names of its loaded weights and adapters.
// It ignores the report if this daemon polls the target itself.
func (e *engineReports) observePeer(target, incarnation string, loaded []string) {
	report := commander.Report{Target: target, Incarnation: incarnation}
	for _, name := range loaded {
		weights, adapter, isAdapter := strings.Cut(name, "+")
		if isAdapter {
			report.Adapters = append(report.Adapters, adapter)
		} else {
			report.Weights = append(report.Weights, weights)
		}
	}
	if len(report.Weights) > 0 && !e.daemon.assigned(target) {
		e.put(report)
	}
}

func (e *engineReports) put(report commander.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest[report.Target] = report
}

// Reports implements commander.ReportSource.
func (e *engineReports) Reports() []commander.Report {
	snapshot := e.daemon.configuration.Current()
	e.mu.Lock()
	defer e.mu.Unlock()
	reports := make([]commander.Report, 0, len(e.newest))
	for name, report := range e.newest {
		target, ok := snapshot.Target(name)
		if !ok {
			delete(e.newest, name)
			continue
		}
		if target.DataCentre != e.daemon.settings.DataCentre {
			continue
		}
		report.Usable = e.daemon.detector.Usable(name) && target.Labels[registrar.LabelDrain] != labelTrue
		reports = append(reports, report)
	}
	return reports
}
