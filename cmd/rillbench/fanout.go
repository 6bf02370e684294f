package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	fanoutJoinTimeout        = 60 * time.Second
	fanoutPropagationTimeout = 30 * time.Second
	fanoutCheckInterval      = 2 * time.Millisecond
	fanoutSettleTime         = 2 * time.Second
	fanoutBasePort           = 10_000
)

// fanoutCommand returns the command that measures the messages, bytes and time that the propagation
// of one configuration change between daemons takes.
func fanoutCommand() *cli.Command {
	return &cli.Command{
		Name:  "fanout",
		Usage: "measure the propagation of configuration changes between daemons in one process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "data-centres", Value: 3, Usage: "number of data centres"},
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "daemons in each data centre"},
			&cli.IntFlag{Name: "changes", Value: 10, Usage: "changes to measure"},
			&cli.BoolFlag{Name: "outage", Usage: "make the platform unavailable right after it accepts each change"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the choice of daemons"},
		},
		Action: runFanout,
	}
}

// fanoutResult is the output of the command. The digest pushes, fetches, bytes and calls to the
// platform are averages per change.
type fanoutResult struct {
	DataCentres           int     `json:"data_centres"`
	Daemons               int     `json:"daemons"`
	Changes               int     `json:"changes"`
	Outage                bool    `json:"outage"`
	DigestPushes          float64 `json:"pokes"`
	Fetches               float64 `json:"fetches"`
	Bytes                 float64 `json:"bytes"`
	DigestPushesPerDaemon float64 `json:"pokes_per_daemon"`
	BytesPerDaemon        float64 `json:"bytes_per_daemon"`
	PropagationP50MS      float64 `json:"spread_p50_ms"`
	PropagationMaxMS      float64 `json:"spread_max_ms"`
	PlatformCalls         float64 `json:"platform_calls"`
}

func runFanout(ctx context.Context, command *cli.Command) error {
	dataCentres, daemonsPerDataCentre := command.Int("data-centres"), command.Int("daemons")
	f := newFanout(dataCentres, daemonsPerDataCentre)
	defer f.close()
	if err := f.awaitMembership(ctx); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(command.Uint64("seed"), 0))
	changes := command.Int("changes")
	result := fanoutResult{
		DataCentres: dataCentres,
		Daemons:     dataCentres * daemonsPerDataCentre,
		Changes:     changes,
		Outage:      command.Bool("outage"),
	}
	var propagationTimes []time.Duration
	for i := range changes {
		propagationTime, traffic, err := f.measure(ctx, f.daemons[random.IntN(len(f.daemons))], i, result.Outage)
		if err != nil {
			return err
		}
		propagationTimes = append(propagationTimes, propagationTime)
		result.add(traffic, changes)
	}
	slices.Sort(propagationTimes)
	result.PropagationP50MS = milliseconds(propagationTimes[len(propagationTimes)/2])
	result.PropagationMaxMS = milliseconds(propagationTimes[len(propagationTimes)-1])
	return json.NewEncoder(os.Stdout).Encode(result)
}

func (r *fanoutResult) add(traffic fanoutTraffic, changes int) {
	perChange := 1 / float64(changes)
	r.DigestPushes += float64(traffic.digestPushes) * perChange
	r.Fetches += float64(traffic.fetches) * perChange
	r.Bytes += float64(traffic.bytes) * perChange
	r.PlatformCalls += float64(traffic.platformCalls) * perChange
	r.DigestPushesPerDaemon = r.DigestPushes / float64(r.Daemons)
	r.BytesPerDaemon = r.Bytes / float64(r.Daemons)
}

// awaitMembership waits until each daemon is ready and knows its peers and a contact in every
// other data centre.
func (f *fanout) awaitMembership(ctx context.Context) error {
	return f.waitFor(ctx, fanoutJoinTimeout, "the daemons did not discover each other", func(d *fanoutDaemon) bool {
		contactsKnown := f.dataCentres == 1 || len(d.gossip.RemoteContacts()) >= f.dataCentres-1
		return d.configuration.Ready() && len(d.gossip.Peers()) == f.daemonsPerDataCentre-1 && contactsKnown
	})
}

// measure commits one change at d and waits until it is in force at all daemons. It returns the time
// that this took and the traffic that the change caused.
func (f *fanout) measure(ctx context.Context, d *fanoutDaemon, i int, outage bool) (propagationTime time.Duration, traffic fanoutTraffic, err error) {
	time.Sleep(fanoutSettleTime)
	before := f.traffic()
	account := registrar.Account{
		Name:   fmt.Sprintf("account-%d", i),
		Labels: registrar.Labels{"generation": fmt.Sprint(i)},
	}
	change := registrar.Change{Set: registrar.Objects{Accounts: []registrar.Account{account}}}
	revision, err := d.configuration.Commit(ctx, d.configuration.Digest().Revision, change)
	if err != nil {
		return 0, fanoutTraffic{}, err
	}
	committedAt := time.Now()
	f.platform.SetFaults(platformemulator.Faults{Outage: outage})
	defer f.platform.SetFaults(platformemulator.Faults{})
	err = f.waitFor(ctx, fanoutPropagationTimeout, "the change did not take effect at all daemons", func(d *fanoutDaemon) bool {
		return d.configuration.Digest().Revision >= revision
	})
	propagationTime = time.Since(committedAt)
	time.Sleep(fanoutSettleTime)
	return propagationTime, f.traffic().minus(before), err
}

func (f *fanout) waitFor(ctx context.Context, timeout time.Duration, failure string, condition func(*fanoutDaemon) bool) error {
	for started := time.Now(); time.Since(started) < timeout && ctx.Err() == nil; time.Sleep(fanoutCheckInterval) {
		if !slices.ContainsFunc(f.daemons, func(d *fanoutDaemon) bool { return !condition(d) }) {
			return nil
		}
	}
	return fmt.Errorf("%s within %v", failure, timeout)
}

// fanoutAddress returns a distinct address for the daemon with this index. The address is never dialled.
func fanoutAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(fanoutBasePort+index))
}
