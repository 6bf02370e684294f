package runner

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/exchanger"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	outageCheckInterval = time.Second
	recordCopyCount     = 2
	// recordRankingKey is the prefix of the key by which a daemon ranks its peers to select those that
	// store the copies of its record. The rest of the key is the daemon's name.
	recordRankingKey        = "record"
	codePlatformUnavailable = "platform_unavailable"
	codeNoTarget            = "no_target"
	platformSubject         = "platform"
)

func (d *Daemon) startRecord(context.Context) (err error) {
	d.receivedCopies = reporter.NewHolder(reporter.HolderSettings{}, d.store, memberLiveness{gossip: d.gossip})
	d.recorder, err = reporter.NewRecorder(reporter.Settings{
		Daemon:      d.settings.Name,
		DataCentre:  d.settings.DataCentre,
		Incarnation: incarnationText(d.gossip.Self()),
	}, d.store, recordReplicator{gossip: d.gossip, client: d.peers})
	d.outages = &outages{recorder: d.recorder}
	return err
}

func incarnationText(member gossiper.Member) string {
	return strconv.FormatUint(member.Incarnation, 10)
}

// memberLiveness reports which daemons are alive, from the gossip membership.
type memberLiveness struct {
	gossip *gossiper.Gossiper
}

// Alive implements reporter.Liveness.
func (m memberLiveness) Alive(daemon, incarnation string) bool {
	for _, member := range m.gossip.Peers() {
		if member.Name == daemon && incarnationText(member) == incarnation {
			return true
		}
	}
	return false
}

// recordReplicator stores copies of this daemon's record on recordCopyCount peers.
type recordReplicator struct {
	gossip *gossiper.Gossiper
	client *exchanger.Client
}

// copyAddresses returns the addresses of the peers that store the copies: the first recordCopyCount
// in this daemon's ranking of the peers.
func (r recordReplicator) copyAddresses() []netip.AddrPort {
	ranked := gossiper.Ranked(r.gossip.Peers(), recordRankingKey+r.gossip.Self().Name)
	ranked = ranked[:min(len(ranked), recordCopyCount)]
	addresses := make([]netip.AddrPort, 0, len(ranked))
	for _, member := range ranked {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// CopyRecord implements reporter.Peers.
func (r recordReplicator) CopyRecord(ctx context.Context, recordCopy reporter.Copy) (copies int, err error) {
	var failures error
	for _, address := range r.copyAddresses() {
		if err := r.client.CopyRecord(ctx, address, recordCopy.Key, recordCopy.Data, false); err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		copies++
	}
	if copies == 0 {
		return 0, failures
	}
	return copies, nil
}

// DropRecord implements reporter.Peers. It calls exchanger.Client.CopyRecord with drop set, which
// deletes the copy.
func (r recordReplicator) DropRecord(ctx context.Context, key string) error {
	var failures error
	for _, address := range r.copyAddresses() {
		failures = errors.Join(failures, r.client.CopyRecord(ctx, address, key, nil, true))
	}
	return failures
}

// receivedCopiesAdapter adapts a reporter.Holder, which stores the copies of other daemons' records,
// to exchanger.RecordCopies.
type receivedCopiesAdapter struct {
	holder *reporter.Holder
}

// Keep implements exchanger.RecordCopies.
func (a receivedCopiesAdapter) Keep(key string, data []byte) error {
	recordCopy, err := reporter.NewCopy(key, data)
	if err != nil {
		return err
	}
	return a.holder.Keep(recordCopy)
}

// Drop implements exchanger.RecordCopies.
func (a receivedCopiesAdapter) Drop(key string) { a.holder.Drop(key) }

// recordRefusal records a request that the daemon refused at the callers' port. Requests that the
// caller cancelled are not recorded.
func (d *Daemon) recordRefusal(account string, refusal *refuser.Refusal) {
	if refusal.Code == refuser.CodeCancelled {
		return
	}
	d.recorder.Record(reporter.Entry{
		Kind:    reporter.KindRefusal,
		Account: account,
		Code:    string(refusal.Code),
		Run:     reporter.Run(refusal.Run),
	})
}

// outages records the start and the end of outages of the platform, of models and of services.
type outages struct {
	recorder *reporter.Recorder
	mu       sync.Mutex
	ongoing  map[string]bool
}

// observe records an outage of the subject (a model, a service or the platform) while it is
// unavailable, and the end of the outage once it is available again.
func (o *outages) observe(subject, code string, unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ongoing == nil {
		o.ongoing = make(map[string]bool)
	}
	if unavailable {
		o.ongoing[subject] = true
		o.recorder.ObserveOutage(subject, code)
		return
	}
	if o.ongoing[subject] {
		delete(o.ongoing, subject)
		o.recorder.EndOutage(subject, code)
	}
}

// observePlatform records whether the error of a call to the platform shows an outage.
func (o *outages) observePlatform(err error) {
	var unavailable *storer.UnavailableError
	o.observe(platformSubject, codePlatformUnavailable, errors.As(err, &unavailable))
}

// monitorOutages checks every second whether each model and service has a usable target.
func (d *Daemon) monitorOutages() {
	ticker := time.NewTicker(outageCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.checkTargetOutages()
		}
	}
}

func (d *Daemon) checkTargetOutages() {
	usable := make(map[registrar.Reference]int)
	objects := d.configuration.Current().Objects()
	for i := range objects.Targets {
		target := &objects.Targets[i]
		subject := outageSubject(target)
		// A subject without usable targets also needs an entry.
		usable[subject] += 0
		if d.detector.Usable(target.Name) {
			usable[subject]++
		}
	}
	for subject, count := range usable {
		d.outages.observe(string(subject.Kind)+"/"+subject.Name, codeNoTarget, count == 0)
	}
}

// outageSubject returns the service of a service target, or the model of any other target.
func outageSubject(target *registrar.Target) registrar.Reference {
	if target.Kind == registrar.TargetService {
		return registrar.Reference{Kind: registrar.KindService, Name: target.Service}
	}
	return registrar.Reference{Kind: registrar.KindModel, Name: target.Model}
}
