package assembler

import (
	"math/rand/v2"
	"time"

	"github.com/rosemaryrill/rosemaryrill/admitter"
	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/tracker"
	"github.com/rosemaryrill/rosemaryrill/upgrader"
)

// deploymentView is the daemon's view of its deployment: the configuration, the targets and the other
// daemons, as read from the store and received from peers.
type deploymentView struct {
	declarations         *tracker.DeclarationTracker
	targets              *tracker.TargetTracker
	peers                *tracker.PeerTracker
	followers            []*follower.Follower
	declarationsFollower *follower.Follower
	daemonsFollower      *follower.Follower
	placer               *placer.Placer
	attributor           *attributor.Attributor
	admitter             *admitter.Admitter
	upgrader             *upgrader.Upgrader
	caughtUp             func() bool
}

// Catalog returns the current configuration, or nil before the first was read and other daemons were asked for theirs. One that
// requires no keys is not used before the daemon has read whether the deployment has accounts.
func (v *deploymentView) Catalog() *cataloger.Catalog {
	if !v.caughtUp() {
		return nil
	}
	catalog := v.declarations.Catalog()
	if catalog == nil || !catalog.RequiresKeys() && !v.daemonsFollower.Listed() {
		return nil
	}
	return catalog
}

// ContactAge returns the time since the configuration was last known to be the newest.
func (v *deploymentView) ContactAge() time.Duration { return v.declarationsFollower.ContactAge() }

// Complete reports whether the configuration, the targets and the daemons were read at least once.
func (v *deploymentView) Complete() bool {
	for _, f := range v.followers {
		if !f.Listed() {
			return false
		}
	}
	return v.Catalog() != nil
}

// Export returns the state to send to the other daemons.
func (v *deploymentView) Export() placer.PeerUpdate {
	update := v.placer.Export()
	update.Strikes, update.Completions = v.attributor.Export(strikesPerMessage)
	update.UpgradePlan = v.upgrader.Plan()
	update.AccountDemands, update.ServiceSupplies = v.admitter.Export()
	return update
}

// Import merges the state received from another daemon.
func (v *deploymentView) Import(peer string, update placer.PeerUpdate) {
	v.placer.Import(peer, update)
	v.upgrader.ApplyPlan(update.UpgradePlan)
	v.attributor.Import(update.Strikes, update.Completions)
	v.admitter.Import(peer, update.AccountDemands, update.ServiceSupplies)
}

func (d *Daemon) newDeploymentView() *deploymentView {
	v := &deploymentView{caughtUp: d.catchUp.done.Load}
	v.placer = placer.New(placer.Settings{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre, Now: time.Now, VersionBound: d.settings.Hosted.WeightsSpread,
		SoftwareRecorded: d.origins.versions.Recorded, Seed: rand.Uint64(), Logger: d.loggerFor("placer"),
		Crossing: d.newCrossing(), LimitMemory: d.settings.Hosted.EngineMemory,
	})
	v.attributor = attributor.New(attributor.Settings{
		Name: d.settings.Name, KnowsIncarnation: v.placer.KnowsIncarnation, Refuses: d.targetRefuses, Now: time.Now,
	})
	v.admitter = admitter.New(admitter.Settings{Now: time.Now, Logger: d.loggerFor("admitter")})
	v.declarations = tracker.NewDeclarationTracker(tracker.DeclarationTrackerSettings{
		Decode: decodeDeclaration,
		OnCatalog: func(catalog *cataloger.Catalog) {
			v.placer.SetEngines(engineCapacities(catalog))
			stores := cacheStores(catalog)
			v.placer.SetCacheStores(stores)
			d.cachePolling.setStores(stores)
			d.quotas.SetQuotas(catalog.LimitedAccounts())
			d.checkLimits(catalog.Limits())
			if catalog.ListsAccounts() {
				d.accounts.Declare()
			}
		},
		OnWeights: func(weights tracker.Weights) {
			d.logger.Info("operators requested new weights", "model", weights.Model, "version", weights.Version)
			v.placer.SetWantedVersion(weights.Model, weights.Version, !d.starting())
			d.coordination.upgrader.Wake()
		},
		Logger: d.loggerFor("tracker"),
	})
	v.targets = tracker.NewTargetTracker(tracker.TargetTrackerSettings{
		Decode: platform.DecodeTarget, OnChange: d.applyTargets, Logger: d.loggerFor("tracker"),
	})
	v.peers = tracker.NewPeerTracker(tracker.PeerTrackerSettings{
		OwnAddress: d.settings.PeersAdvertise, Logger: d.loggerFor("tracker"),
		OnChange: d.applyPeers,
	})
	return v
}

// starting reports whether the daemon started less than a second ago, so that an entry that it reads
// for the first time may have been written long before.
func (d *Daemon) starting() bool { return time.Since(d.startTime) < time.Second }
