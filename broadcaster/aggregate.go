package broadcaster

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// fleetName is the name under which State.Import receives the work of all other daemons.
const fleetName = "fleet"

// contribution is the last known work that one sender reported: that of a daemon, or of the daemons of a data centre.
type contribution struct {
	loads      []placer.Load
	receivedAt time.Time
}

// aggregate collects what an aggregator receives, and combines it into the messages that it sends.
type aggregate struct {
	// members is the work of the other daemons of the data centre, and remote that of the other data centres; both by
	// the name of the sender.
	members map[string]contribution
	remote  map[string]contribution
	// localNews came from members and goes to all daemons, remoteNews from other data centres and goes to members only.
	localNews, remoteNews *news
	// localPlan is the upgrade plan that a member told, and remotePlan the one that came from elsewhere. Only the former
	// goes to other data centres, since a plan that returns there might replace a newer one.
	localPlan, remotePlan receivedPlan
	demands               demandBook
}

// receivedPlan is an upgrade plan and when it was received.
type receivedPlan struct {
	placer.UpgradePlan
	receivedAt time.Time
}

func newAggregate() *aggregate {
	return &aggregate{
		members: make(map[string]contribution), remote: make(map[string]contribution), localNews: newNews(), remoteNews: newNews(), demands: newDemandBook(),
	}
}

// addMember records the state of a daemon of the own data centre.
func (a *aggregate) addMember(name string, update placer.PeerUpdate, now time.Time) {
	record(a.members, name, update, now)
	a.demands.local.record(name, update, now)
	a.localNews.add(update)
}

// addRemote records the state of another data centre.
func (a *aggregate) addRemote(sender string, update placer.PeerUpdate, now time.Time) {
	record(a.remote, sender, update, now)
	a.demands.remote.record(sender, update, now)
	a.remoteNews.add(update)
}

func record(contributions map[string]contribution, sender string, update placer.PeerUpdate, now time.Time) {
	loads := update.Loads
	if update.LoadsOmitted {
		loads = contributions[sender].loads
	}
	contributions[sender] = contribution{loads: loads, receivedAt: now}
}

// observe keeps the plan if it is not older than the known one, and reports whether it differs from that.
func (r *receivedPlan) observe(plan placer.UpgradePlan, now time.Time) (changed bool) {
	if plan.FencingToken == 0 || plan.FencingToken < r.FencingToken {
		return false
	}
	changed = plan.FencingToken != r.FencingToken || !slices.Equal(plan.Upgrading, r.Upgrading) || len(plan.Upgraded) != len(r.Upgraded)
	r.UpgradePlan, r.receivedAt = plan, now
	return changed
}

// current returns the plan, or none if it has not been received lately.
func (r *receivedPlan) current(now time.Time) placer.UpgradePlan {
	if now.Sub(r.receivedAt) > contributionTimeout {
		return placer.UpgradePlan{}
	}
	return r.UpgradePlan
}

func newerPlan(a, b placer.UpgradePlan) placer.UpgradePlan {
	if b.FencingToken > a.FencingToken {
		return b
	}
	return a
}

// expire drops the work of senders that have not reported lately.
func (a *aggregate) expire(now time.Time) {
	for _, contributions := range []map[string]contribution{a.members, a.remote} {
		for sender, known := range contributions {
			if now.Sub(known.receivedAt) > contributionTimeout {
				delete(contributions, sender)
			}
		}
	}
}

// combine returns the message for other data centres, which contains the state of the own data centre, and the one for
// the members, which contains the state of all daemons. own is the state of this daemon. The caller calls expire before.
func (a *aggregate) combine(self Peer, own placer.PeerUpdate, now time.Time) (forRemote, forMembers Message) {
	a.localNews.add(own)
	plan := newerPlan(own.UpgradePlan, a.localPlan.current(now))
	a.demands.local.record(self.Name, own, now)
	sum := make(workSum)
	sum.add(own.Loads)
	sum.addAll(a.members)
	local := placer.PeerUpdate{
		Loads: sum.loads(), AnnouncedVersions: own.AnnouncedVersions, UpgradePlan: plan,
	}
	a.localNews.fill(&local)
	sum.addAll(a.remote)
	fleet := local
	a.demands.fill(&local, &fleet, now)
	fleet.Loads = sum.loads()
	fleet.UpgradePlan = newerPlan(plan, a.remotePlan.current(now))
	all := newNews()
	all.add(local)
	remote := placer.PeerUpdate{}
	a.remoteNews.fill(&remote)
	all.add(remote)
	all.fill(&fleet)
	a.localNews, a.remoteNews = newNews(), newNews()
	return Message{Sender: self.Name, Scope: ScopeDataCentre, Update: local},
		Message{Sender: self.Name, Scope: ScopeFleet, Update: fleet, Members: a.memberHashes()}
}

// memberHashes returns the hashes of the names of the daemons that reported lately.
func (a *aggregate) memberHashes() (hashes []uint64) {
	for name := range a.members {
		hashes = append(hashes, nameHash(name))
	}
	return hashes
}

func nameHash(name string) uint64 { return xxh3.HashString(name) }

// workSum is the sum of the work that several daemons have at each target.
type workSum map[placer.TargetHash]placer.Load

func (s workSum) addAll(contributions map[string]contribution) {
	for _, known := range contributions {
		s.add(known.loads)
	}
}

func (s workSum) add(loads []placer.Load) {
	for _, load := range loads {
		s[load.Target] = s[load.Target].Plus(load)
	}
}

// loads returns the sum in an order that does not depend on the map.
func (s workSum) loads() []placer.Load {
	loads := make([]placer.Load, 0, len(s))
	for target, load := range s {
		load.Target = target
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b placer.Load) int { return cmp.Compare(a.Target, b.Target) })
	return loads
}

// without returns the loads less the daemon's own work, as far as they contain it.
func without(loads, own []placer.Load) (others []placer.Load) {
	ownByTarget := make(map[placer.TargetHash]placer.Load, len(own))
	for _, load := range own {
		ownByTarget[load.Target] = load
	}
	for _, load := range loads {
		if rest := load.Minus(ownByTarget[load.Target]); rest != (placer.Load{Target: load.Target}) {
			others = append(others, rest)
		}
	}
	return others
}
