package runner

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

// maxConcurrentQueries bounds how many daemons are queried for their revision at once.
const maxConcurrentQueries = 32

func (d *Daemon) serveOperators() {
	service := operator.NewServer(operator.Settings{
		Daemon:        d.settings.Name,
		DataCentre:    d.settings.DataCentre,
		TokenDigest:   d.settings.OperatorsTokenDigest,
		Configuration: operatorsConfiguration{d.configuration},
		Fleet:         fleet{daemon: d},
		Targets:       operatorsTargets{daemon: d},
		Record:        reporter.NewReader(d.store),
	})
	mux := http.NewServeMux()
	mux.Handle(service.Handler())
	d.operatorsPort = d.newInternalPort(mux, "operators", d.connections.Internal)
	d.group.Go(func() { d.logServeError("operators' port", d.operatorsPort.serve(d.operatorsListener, d.callersTLS)) })
}

// operatorsConfiguration adapts a Configurator to the interface of the operators' server.
type operatorsConfiguration struct {
	*configurator.Configurator
}

// fleet reports the daemons of all data centres to operators.
type fleet struct {
	daemon *Daemon
}

// NotReady implements operator.Fleet.
func (f fleet) NotReady() []string { return f.daemon.NotReady() }

// Members implements operator.Fleet. It queries every known daemon for the revision that it has
// in force.
func (f fleet) Members(ctx context.Context) (members []operator.Member, err error) {
	peers := f.knownMembers(ctx)
	workers := pool.NewWithResults[operator.Member]().WithMaxGoroutines(maxConcurrentQueries)
	for _, member := range peers {
		workers.Go(func() operator.Member { return f.queryMember(ctx, member) })
	}
	members = append(workers.Wait(), f.self())
	slices.SortFunc(members, func(a, b operator.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members, nil
}

func (f fleet) self() operator.Member {
	self := f.daemon.gossip.Self()
	member := memberOf(self)
	member.Revision = registrar.Revision(f.daemon.applied.Load())
	return member
}

// knownMembers returns the other daemons of this data centre, and the daemons that a contact in
// each other data centre reports.
func (f fleet) knownMembers(ctx context.Context) []gossiper.Member {
	gossip := f.daemon.gossip
	members := append(gossip.Peers(), gossip.Unreachable()...)
	seen := make(map[string]bool)
	for _, member := range members {
		seen[member.Name] = true
	}
	for _, contact := range gossip.RemoteContacts() {
		for _, member := range append([]gossiper.Member{contact}, f.membersFrom(ctx, contact)...) {
			if !seen[member.Name] && member.Name != gossip.Self().Name {
				seen[member.Name] = true
				members = append(members, member)
			}
		}
	}
	return members
}

// membersFrom queries a contact for the members of its data centre.
func (f fleet) membersFrom(ctx context.Context, contact gossiper.Member) []gossiper.Member {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := f.daemon.peers.Exchange(ctx, contact.Address, f.daemon.gossip.Greeting())
	if err != nil {
		return nil
	}
	return answer.Members
}

func (f fleet) queryMember(ctx context.Context, peer gossiper.Member) operator.Member {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	member := memberOf(peer)
	state, err := f.daemon.peers.FetchState(ctx, peer.Address, 0)
	if err != nil {
		member.State = operator.MemberUnreachable
		member.Reason = err.Error()
		return member
	}
	member.Revision = registrar.Revision(state.InForce)
	return member
}

func memberOf(member gossiper.Member) operator.Member {
	state := operator.MemberLive
	if member.State == gossiper.StateLeaving {
		state = operator.MemberLeaving
	}
	return operator.Member{
		Name:       member.Name,
		DataCentre: member.DataCentre,
		Address:    member.Address,
		State:      state,
	}
}

// operatorsTargets reports the state of targets to operators.
type operatorsTargets struct {
	daemon *Daemon
}

// Health implements operator.Targets.
func (t operatorsTargets) Health(target string) operator.Health {
	status := t.daemon.detector.Status(target)
	health := operator.Health{
		Usable:      t.daemon.detector.Usable(target),
		Incarnation: status.Incarnation,
	}
	if !health.Usable && status.Reason != detector.ReasonDrain {
		health.Reason = status.State.String() + ": " + string(status.Reason)
	}
	for _, observation := range t.daemon.detector.Export() {
		if observation.Target == target {
			health.Running = observation.Running
			health.Waiting = observation.Waiting
		}
	}
	return health
}

// Choose implements operator.Targets.
func (t operatorsTargets) Choose(ctx context.Context, request registrar.Request) (target, reason string, err error) {
	if request.Service != "" {
		target, err = t.daemon.serviceTargets.Preview(ctx, request.Account, request.Service)
		return target, "least_busy", err
	}
	model := request.Model
	if request.Version != "" {
		model += "@" + request.Version
	}
	plan, err := t.daemon.pools.Plan(pooler.Query{Account: request.Account, Model: model})
	if err != nil {
		return "", "", err
	}
	choice, _, err := plan.Route(nil, "", "")
	if err != nil {
		return "", "", err
	}
	return choice.Decision.Target, string(choice.Decision.Reason), nil
}
