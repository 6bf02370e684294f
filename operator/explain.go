package operator

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// Explain returns the target that a request would be routed to, and for each target whether the
// selectors allow it and why the request would not be routed there.
func (s *Server) Explain(ctx context.Context, request *connect.Request[operatorv1.ExplainRequest]) (*connect.Response[operatorv1.ExplainResponse], error) {
	snapshot := s.settings.Configuration.Current()
	query := registrar.Request{
		Account: request.Msg.GetAccount(),
		Model:   request.Msg.GetModel(),
		Version: request.Msg.GetVersion(),
		Service: request.Msg.GetService(),
	}
	if err := resolveRequest(snapshot, &query); err != nil {
		return nil, unknownObjectToWire(err)
	}
	response := &operatorv1.ExplainResponse{Revision: uint64(snapshot.Revision()), Version: query.Version}
	chosen, reason, err := s.settings.Targets.Choose(ctx, query)
	if err != nil {
		reason = err.Error()
	}
	response.Chosen = chosen
	response.Reason = reason
	for _, explanation := range snapshot.Explain(query) {
		response.Targets = append(response.Targets, s.explainTarget(explanation, chosen))
	}
	return connect.NewResponse(response), nil
}

// resolveRequest checks that the objects of the request are in force, and sets the default
// version if the request names none. It returns an error for the first unknown object.
func resolveRequest(snapshot *registrar.Snapshot, request *registrar.Request) *UnknownObjectError {
	if _, ok := snapshot.Account(request.Account); !ok {
		return newUnknownObjectError(registrar.KindAccount, request.Account)
	}
	if request.Service != "" {
		if _, ok := snapshot.Service(request.Service); !ok {
			return newUnknownObjectError(registrar.KindService, request.Service)
		}
		return nil
	}
	model, ok := snapshot.Model(request.Model)
	if !ok {
		return newUnknownObjectError(registrar.KindModel, request.Model)
	}
	if request.Version == "" {
		request.Version = model.DefaultVersion
		return nil
	}
	version, ok := snapshot.Version(request.Version)
	if !ok || version.Model != request.Model {
		return newUnknownObjectError(registrar.KindVersion, request.Version)
	}
	return nil
}

func newUnknownObjectError(kind registrar.Kind, name string) *UnknownObjectError {
	return &UnknownObjectError{Reference: registrar.Reference{Kind: kind, Name: name}}
}

func (s *Server) explainTarget(explanation registrar.TargetExplanation, chosen string) *operatorv1.TargetExplanation {
	target := explanation.Verdict.Target
	health := s.settings.Targets.Health(target.Name)
	drained := target.Labels[registrar.LabelDrain] == drainValue
	wire := &operatorv1.TargetExplanation{
		Target:     target.Name,
		DataCentre: target.DataCentre,
		Allowed:    explanation.Verdict.Allowed,
		Usable:     health.Usable && !drained,
		Chosen:     target.Name == chosen,
		Selector:   explanation.Verdict.Selector,
		Reasons:    rejectionReasons(explanation.Verdict, health, drained),
	}
	for _, fact := range explanation.Selectors {
		wire.Selectors = append(wire.Selectors, factToWire(fact))
	}
	return wire
}

func rejectionReasons(verdict registrar.Verdict, health Health, drained bool) []string {
	var reasons []string
	switch {
	case verdict.Selector == "":
		reasons = append(reasons, "no selector matches")
	case !verdict.Allowed:
		reasons = append(reasons, fmt.Sprintf("denied by selector %q of priority %d", verdict.Selector, verdict.Priority))
	}
	if drained {
		reasons = append(reasons, reasonDrained)
	}
	if !health.Usable && health.Reason != "" {
		reasons = append(reasons, health.Reason)
	}
	return reasons
}

func factToWire(fact registrar.SelectorFact) *operatorv1.SelectorFact {
	wire := &operatorv1.SelectorFact{
		Selector: fact.Selector.Name,
		Effect:   string(fact.Selector.Effect),
		Priority: int64(fact.Selector.Priority),
		Matched:  fact.Matched(),
	}
	if fact.Unmet != nil {
		wire.Unmet = describeRequirement(fact.Unmet)
	}
	return wire
}

// describeRequirement formats a requirement, for example "account tier in [gold, silver]".
func describeRequirement(requirement *registrar.Requirement) string {
	text := fmt.Sprintf("%s %s %s", requirement.Kind, requirement.Key, requirement.Operator)
	if requirement.Operator == registrar.OperatorExists {
		return text
	}
	return fmt.Sprintf("%s [%s]", text, strings.Join(requirement.Values, ", "))
}
