// Package operator implements the service with which operators manage the fleet: the server on
// the operators' port of each daemon, and the client that rillctl uses.
//
// # Usage
//
// A daemon passes its components as interfaces and serves the handler:
//
//	server := operator.NewServer(operator.Settings{
//		Daemon:        "sapporo-1",
//		Configuration: configuration,
//		Fleet:         fleet,
//		Targets:       targets,
//		Record:        reader,
//	})
//	mux.Handle(server.Handler())
//
// The client tries its daemons in order until one answers the call:
//
//	client := operator.NewClient(operator.ClientSettings{Daemons: addresses, Token: token})
//	revision, err := client.Apply(ctx, base, change)
//	var conflict *operator.ConflictError
//	if errors.As(err, &conflict) {
//		// A concurrent change modified the same objects.
//	}
package operator

import (
	"context"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

// Configuration provides the configuration that a daemon has in force, and commits changes to it.
type Configuration interface {
	Current() *registrar.Snapshot
	Commit(ctx context.Context, base registrar.Revision, change registrar.Change) (registrar.Revision, error)
	Alarms() []configurator.Alarm
}

// Fleet provides the state of the daemons of the fleet.
type Fleet interface {
	// Members returns every daemon of the fleet with the revision that it has in force. Daemons
	// that did not answer are included in the state MemberUnreachable.
	Members(ctx context.Context) ([]Member, error)
	// NotReady returns the reasons why this daemon is not ready for traffic, or nothing if it is ready.
	NotReady() []string
}

// Targets monitors the targets and chooses among them.
type Targets interface {
	// Health returns the last known health of the target.
	Health(target string) Health
	// Choose returns the target that a request would be routed to now, with the reason.
	Choose(ctx context.Context, request registrar.Request) (target, reason string, err error)
}

// RecordReader reads the record of outages and refusals.
type RecordReader interface {
	Read(ctx context.Context, from, to time.Time) (reporter.Report, error)
}

// MemberState is the last known state of a daemon.
type MemberState string

// The states of a daemon.
const (
	MemberLive        MemberState = "live"
	MemberLeaving     MemberState = "leaving"
	MemberUnreachable MemberState = "unreachable"
)

// Member is one daemon of the fleet.
type Member struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	Revision   registrar.Revision
	State      MemberState
	// Reason describes why the daemon is unreachable.
	Reason string
}

// Health is the last known health of a target.
type Health struct {
	// Usable reports whether the daemon routes new requests to the target.
	Usable bool
	// Reason describes why the target is not usable.
	Reason      string
	Incarnation string
	Running     int
	Waiting     int
}

// TargetStatus is a target with its health.
type TargetStatus struct {
	Name       string
	Kind       registrar.TargetKind
	DataCentre string
	Slots      int
	Health     Health
}

// Alarm describes platform data, such as an entry of the configuration log, that a daemon rejected.
// The daemon keeps its previous configuration in force.
type Alarm struct {
	Kind    string
	Message string
	First   time.Time
	Last    time.Time
	Active  bool
}

// Status is the status of one daemon, with its view of the other daemons and of the targets.
type Status struct {
	Daemon     string
	DataCentre string
	Revision   registrar.Revision
	NotReady   []string
	Alarms     []Alarm
	Members    []Member
	Targets    []TargetStatus
}

// Confirmations groups the daemons by whether they have a revision in force.
type Confirmations struct {
	// Confirmed have the revision or a newer one in force.
	Confirmed []Member
	// Behind have an older revision in force.
	Behind []Member
	// Unreachable did not answer, so it is unknown which revision they have in force.
	Unreachable []Member
}

// Complete reports whether every daemon has the revision in force. It is false if no daemon
// confirmed the revision.
func (c Confirmations) Complete() bool {
	return len(c.Confirmed) > 0 && len(c.Behind) == 0 && len(c.Unreachable) == 0
}

// SelectorFact reports whether a selector matched a request and a target.
type SelectorFact struct {
	Selector string
	Effect   registrar.Effect
	Priority int
	Matched  bool
	// Unmet describes the first requirement that was not met.
	Unmet string
}

// TargetExplanation reports whether a request is allowed to use a target and would be routed
// there.
type TargetExplanation struct {
	Target     string
	DataCentre string
	Allowed    bool
	Usable     bool
	Chosen     bool
	// Reasons lists why the request would not be routed to the target.
	Reasons   []string
	Selector  string
	Selectors []SelectorFact
}

// Explanation is the routing decision for a request.
type Explanation struct {
	Revision registrar.Revision
	// Version is the model version that would serve the request.
	Version string
	Chosen  string
	Reason  string
	Targets []TargetExplanation
}
