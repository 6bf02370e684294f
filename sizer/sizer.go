// Package sizer measures the resource use of a daemon at a given size of its data centre: control traffic, calls to the
// platform, goroutines, memory and processor time. Measurements of several sizes can be extrapolated to data centres
// that are too large for a single machine.
//
// # Usage
//
//	row, err := sizer.Measure(ctx, sizer.Settings{Daemons: 6, Targets: 12, Duration: 15 * time.Second, ChangesPerSecond: 1})
//	fmt.Println(row.DaemonBytes, row.ProcessorShare)
//
// All daemons, emulated engines and the emulated platform run in this process and communicate over loopback. Processor
// time and memory include those of the emulators and are therefore upper bounds.
package sizer

import (
	"cmp"
	"context"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/launcher"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

// Error is the class of all errors of this package.
var Error = errs.Class("sizer")

const (
	defaultDuration = 15 * time.Second
	defaultSettle   = 8 * time.Second
	commitTimeout   = 5 * time.Second
)

// Settings are the parameters of a measurement.
type Settings struct {
	// Daemons and Targets are their numbers in the data centre.
	Daemons int
	Targets int
	// ChangesPerSecond is the rate of configuration changes during the measurement.
	ChangesPerSecond float64
	// SettleTime is how long the fleet runs before the measurement, and Duration how long the measurement takes.
	SettleTime time.Duration
	Duration   time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Duration = cmp.Or(s.Duration, defaultDuration)
	s.SettleTime = cmp.Or(s.SettleTime, defaultSettle)
	return s
}

// Measurement is the resource use at one size of the data centre, per daemon unless stated otherwise.
type Measurement struct {
	Daemons int
	Targets int
	// Changes and ChangesFailed are the numbers of configuration changes that were committed and that failed.
	Changes       int
	ChangesFailed int
	Duration      time.Duration
	// DaemonBodyBytes is the uncompressed size of the bodies between daemons, sent and received, in bytes per second.
	DaemonBodyBytes float64
	// DaemonBytes, TargetBytes and PlatformBytes are the bytes per second, sent and received, on the daemon's
	// connections to other daemons, to targets and to the platform, with all headers above TCP. Bytes between daemons
	// count at the sender and at the receiver.
	DaemonBytes   float64
	TargetBytes   float64
	PlatformBytes float64
	// PlatformCalls is the number of calls per second of the whole data centre to the platform, by kind.
	PlatformCalls map[string]float64
	// Goroutines and HeapBytes are those of the process, divided by the number of daemons.
	Goroutines float64
	HeapBytes  float64
	// ProcessorShare is the use of processor time as a fraction of one core, above that of the process before the start
	// of the fleet.
	ProcessorShare float64
}

// Measure starts a fleet of the given size, waits for SettleTime and then measures it for Duration.
func Measure(ctx context.Context, settings Settings) (row Measurement, err error) {
	defer Error.WrapP(&err)
	settings = settings.withDefaults()
	processorBefore := readProcessorTime()
	waiter.Sleep(ctx, time.Second)
	idlePerSecond := readProcessorTime() - processorBefore
	fleet, err := launcher.Start(ctx, launcher.Settings{Daemons: settings.Daemons, Engines: settings.Targets})
	if err != nil {
		return Measurement{}, err
	}
	defer func() { err = errs.Combine(err, fleet.Close()) }()
	waiter.Sleep(ctx, settings.SettleTime)
	before, err := takeSample(ctx, fleet)
	if err != nil {
		return Measurement{}, err
	}
	changes := commitChanges(ctx, fleet, settings)
	after, err := takeSample(ctx, fleet)
	if err != nil {
		return Measurement{}, err
	}
	row = after.measurementSince(before, settings.Daemons, idlePerSecond)
	row.Daemons, row.Targets = settings.Daemons, settings.Targets
	row.Changes, row.ChangesFailed = int(changes.committed.Load()), int(changes.failed.Load())
	return row, ctx.Err()
}

type changeCounts struct {
	committed, failed atomic.Int64
}

// commitChanges commits changes of one account at a fixed rate for the duration of the measurement, without waiting for
// earlier ones.
func commitChanges(ctx context.Context, fleet *launcher.Fleet, settings Settings) (counts *changeCounts) {
	counts = &changeCounts{}
	ctx, cancel := context.WithTimeout(ctx, settings.Duration)
	defer cancel()
	if settings.ChangesPerSecond <= 0 {
		<-ctx.Done()
		return counts
	}
	var commits conc.WaitGroup
	defer commits.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / settings.ChangesPerSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return counts
		case <-ticker.C:
			commits.Go(func() { counts.commit(fleet, i) })
		}
	}
}

func (c *changeCounts) commit(fleet *launcher.Fleet, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	daemon := fleet.Daemons[i%len(fleet.Daemons)]
	account := registrar.Account{Name: "sized", Labels: registrar.Labels{"tier": []string{"gold", "silver"}[i%2]}}
	_, err := daemon.Commit(ctx, daemon.Current().Revision(), registrar.Change{
		Set:    registrar.Objects{Accounts: []registrar.Account{account}},
		Author: "sizer",
	})
	if err != nil {
		c.failed.Add(1)
		return
	}
	c.committed.Add(1)
}

func readProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func readHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
