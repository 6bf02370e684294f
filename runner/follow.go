package runner

import (
	"context"
	"os"
	"time"

	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/parser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	firstConfigurationInterval = 500 * time.Millisecond
	firstConfigurationTimeout  = 5 * time.Second
)

// followConfiguration applies each new configuration to the other components and notifies peers
// of it.
func (d *Daemon) followConfiguration() {
	for {
		changed := d.configuration.Changed()
		d.applyConfiguration(d.configuration.Current())
		select {
		case <-d.stop:
			return
		case <-changed:
			d.gossip.PushDigest()
		}
	}
}

// commitFirstConfiguration commits the configuration from the file that the setting
// first_configuration_file names, if the platform stores none. It retries until a configuration is
// in force. Several daemons may try; the first commit wins.
func (d *Daemon) commitFirstConfiguration() {
	file := d.settings.FirstConfigurationFile
	if file == "" {
		return
	}
	ticker := time.NewTicker(firstConfigurationInterval)
	defer ticker.Stop()
	for d.configuration.Current().Revision() == 0 {
		if err := d.tryCommitFirstConfiguration(file); err != nil {
			d.observer.Log("runner").Info("runner: first configuration not committed", "error", err)
		}
		select {
		case <-d.stop:
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) tryCommitFirstConfiguration(file string) error {
	if !d.configuration.Ready() || d.configuration.Current().Revision() > 0 {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	objects, err := parser.ParseObjects(file, data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), firstConfigurationTimeout)
	defer cancel()
	_, err = d.Commit(ctx, 0, registrar.Change{Set: objects, Author: d.settings.Name, Comment: "first configuration"})
	return err
}

func (d *Daemon) applyConfiguration(snapshot *registrar.Snapshot) {
	objects := snapshot.Objects()
	d.pools.Apply(snapshot)
	d.mover.CancelChanged()
	accounts := make([]limiter.Account, 0, len(objects.Accounts))
	for _, account := range objects.Accounts {
		accounts = append(accounts, limiter.Account{Name: account.Name, Limits: limiter.Limits(account.Limits)})
	}
	d.modelLimiter.SetAccounts(accounts)
	d.serviceLimiter.SetAccounts(accounts)
	d.selectorLimiter.SetAccounts(selectorLimits(objects.Selectors))
	d.applyTargets(objects)
	d.applied.Store(uint64(snapshot.Revision()))
}

// selectorLimits returns the limits of selectors as limiter accounts that carry the selectors'
// names.
func selectorLimits(selectors []registrar.Selector) []limiter.Account {
	var limits []limiter.Account
	for i := range selectors {
		if selectors[i].Limits != (registrar.Limits{}) {
			limits = append(limits, limiter.Account{Name: selectors[i].Name, Limits: limiter.Limits(selectors[i].Limits)})
		}
	}
	return limits
}

// membersChanged passes the current members to the components that divide targets, limits or
// load among daemons.
func (d *Daemon) membersChanged() {
	d.assignment.invalidate()
	if d.modelLimiter == nil {
		return
	}
	names := memberNames(append(d.gossip.Peers(), d.gossip.Unreachable()...))
	d.modelLimiter.SetPeers(names)
	d.serviceLimiter.SetPeers(names)
	d.selectorLimiter.SetPeers(names)
	d.crashes.SetPeers(names)
	d.pools.SetDaemonCount(len(names) + len(d.gossip.RemoteContacts()) + 1)
}

func memberNames(members []gossiper.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}
