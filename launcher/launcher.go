// Package launcher starts a complete small fleet on loopback in one process: emulators of the
// platform, of engines and of a service, and a few daemons in front of them.
//
// # Usage
//
//	fleet, err := launcher.Start(ctx, launcher.Settings{})
//	defer fleet.Close()
//	fmt.Println(fleet.URL())
//	counts := fleet.RunBatch(ctx)
package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/parser"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/runner"
	"github.com/rosemaryrill/rosemaryrill/serviceemulator"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

// Error is the class of all errors of this package.
var Error = errs.Class("launcher")

// Names in the quickstart's configuration.
const (
	DemoKey     = "demo-key"
	OtherKey    = "other-key"
	DemoModel   = "demo-model"
	DemoAccount = "demo"
	dataCentre  = "local"

	weights        = "demo-weights-1"
	defaultEngines = 3
	defaultDaemons = 3
	startTimeout   = 20 * time.Second
	pollInterval   = 20 * time.Millisecond
	drainBound     = 10 * time.Second
)

// Settings are the parameters of a fleet.
type Settings struct {
	// Listen is the callers' address of the first daemon; a free port by default.
	Listen netip.AddrPort
	// TraceEndpoint is the URL of an OTLP collector; every request is traced if it is set.
	TraceEndpoint string
	// LogOutput receives the log of the daemons; nothing is logged if it is nil.
	LogOutput io.Writer
	// DebugComponents names the components whose debug lines are logged too.
	DebugComponents []string
	// Daemons and Engines are how many of each are started; 3 by default.
	Daemons int
	Engines int
	// Engine configures the engine emulators. Their weights and seeds are set by the launcher.
	Engine engineemulator.Settings
}

func (s Settings) withDefaults() Settings {
	if !s.Listen.IsValid() {
		s.Listen = loopback()
	}
	if s.Daemons == 0 {
		s.Daemons = defaultDaemons
	}
	if s.Engines == 0 {
		s.Engines = defaultEngines
	}
	if s.Engine.RestartAfter == 0 {
		s.Engine.RestartAfter = time.Second
	}
	return s
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *platformemulator.Platform
	Engines  []*engineemulator.Engine
	Service  *serviceemulator.Service
	Daemons  []*runner.Daemon

	settings        Settings
	platformServer  *http.Server
	platformAddress netip.AddrPort
}

// Start starts a fleet and returns once its daemons take traffic.
func Start(ctx context.Context, settings Settings) (fleet *Fleet, err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f := &Fleet{settings: settings.withDefaults()}
	steps := []func(context.Context) error{
		f.startPlatform, f.startEngines, f.startService, f.startDaemons, f.commitConfiguration, f.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, errs.Combine(err, f.Close())
		}
	}
	return f, nil
}

func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// engineAddress returns a separate loopback address for each engine, so that the host list can
// contain a host for each engine.
func engineAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 0)
}

// URL returns the URL of the first daemon's callers' port.
func (f *Fleet) URL() string {
	return "http://" + f.Daemons[0].CallersAddress().String()
}

// URLs returns the URLs of all daemons' callers' ports.
func (f *Fleet) URLs() []string {
	urls := make([]string, 0, len(f.Daemons))
	for _, daemon := range f.Daemons {
		urls = append(urls, "http://"+daemon.CallersAddress().String())
	}
	return urls
}

// Close shuts down the daemons, then the emulators, and waits for them.
func (f *Fleet) Close() (err error) {
	defer Error.WrapP(&err)
	var group errs.Group
	for _, daemon := range f.Daemons {
		group.Add(daemon.Shutdown())
	}
	if f.Service != nil {
		group.Add(f.Service.Close())
	}
	for _, engine := range f.Engines {
		group.Add(engine.Close())
	}
	if f.platformServer != nil {
		group.Add(f.platformServer.Close())
	}
	return group.Err()
}

func (f *Fleet) startPlatform(context.Context) error {
	listener, err := net.Listen("tcp", loopback().String())
	if err != nil {
		return err
	}
	f.platformAddress, err = netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return errs.Combine(err, listener.Close())
	}
	f.Platform = platformemulator.New(platformemulator.Settings{})
	f.platformServer = &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.platformServer.Serve(listener) }()
	return nil
}

func (f *Fleet) startEngines(context.Context) error {
	for i := range f.settings.Engines {
		settings := f.settings.Engine
		settings.Weights = []string{weights}
		settings.Seed = uint64(i)
		engine := engineemulator.New(settings)
		f.Engines = append(f.Engines, engine)
		if err := engine.Start(engineAddress(i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startService(context.Context) error {
	f.Service = serviceemulator.New(serviceemulator.Settings{RestartAfter: time.Second})
	return f.Service.Start(loopback())
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	for i := range f.settings.Daemons {
		daemon, err := f.newDaemon(ctx, i)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, daemon)
	}
	return nil
}

func (f *Fleet) newDaemon(ctx context.Context, i int) (*runner.Daemon, error) {
	settings := loader.DefaultSettings()
	settings.Name = fmt.Sprintf("daemon-%d", i+1)
	settings.DataCentre = dataCentre
	settings.CallersListen = loopback()
	if i == 0 {
		settings.CallersListen = f.settings.Listen
	}
	settings.PeersListen = loopback()
	settings.OperatorsListen = loopback()
	settings.Platform = []netip.AddrPort{f.platformAddress}
	for _, other := range f.Daemons {
		settings.SeedPeers = append(settings.SeedPeers, other.PeersAddress())
	}
	settings.LeaveNotice = 0
	settings.DrainBound = drainBound
	if f.settings.TraceEndpoint != "" {
		settings.Telemetry = loader.Telemetry{OTLPEndpoint: f.settings.TraceEndpoint, SampleRatio: 1}
	}
	return runner.New(ctx, runner.Settings{
		Settings:        settings,
		LogOutput:       f.settings.LogOutput,
		DebugComponents: f.settings.DebugComponents,
	})
}

// Restart closes a daemon without draining it and starts a new one without state in its place.
// It returns once all daemons are ready.
func (f *Fleet) Restart(ctx context.Context, i int) (err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	// The error is ignored: records that a daemon cannot store when it closes, for example in an
	// outage of the platform, have copies at its peers.
	_ = f.Daemons[i].Close()
	f.Daemons[i], err = f.newDaemon(ctx, i)
	if err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// commitConfiguration commits the first configuration. It retries until ctx ends.
func (f *Fleet) commitConfiguration(ctx context.Context) error {
	objects, err := parser.ParseObjects("quickstart.jsonc", []byte(f.configuration()))
	if err != nil {
		return err
	}
	change := registrar.Change{Set: objects, Author: "quickstart", Comment: "first configuration"}
	for {
		_, err = f.Daemons[0].Commit(ctx, 0, change)
		if err == nil || ctx.Err() != nil {
			return err
		}
		waiter.Sleep(ctx, pollInterval)
	}
}

// awaitReady waits until each daemon has the configuration in force and takes traffic.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, daemon := range f.Daemons {
		for daemon.Current().Revision() == 0 || len(daemon.NotReady()) > 0 {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			waiter.Sleep(ctx, pollInterval)
		}
	}
	return nil
}
