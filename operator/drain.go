package operator

import (
	"context"
	"errors"
	"maps"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	drainValue    = "true"
	reasonDrained = "drained by an operator"
	// maxDrainAttempts bounds the attempts of a drain whose commits conflict with other changes of
	// the target.
	maxDrainAttempts = 5
)

// Drain sets or removes the drain label of a target, which excludes the target from new
// requests. It commits nothing if the target is already in the requested state.
func (s *Server) Drain(ctx context.Context, request *connect.Request[operatorv1.DrainRequest]) (*connect.Response[operatorv1.DrainResponse], error) {
	message := request.Msg
	var revision registrar.Revision
	var err error
	for range maxDrainAttempts {
		revision, err = s.drainOnce(ctx, message)
		var overlap *configurator.OverlapError
		if !errors.As(err, &overlap) {
			break
		}
	}
	var unknown *UnknownObjectError
	if errors.As(err, &unknown) {
		return nil, unknownObjectToWire(unknown)
	}
	if err != nil {
		return nil, commitErrorToWire(err)
	}
	response := &operatorv1.DrainResponse{Revision: uint64(revision), Daemon: s.settings.Daemon}
	return connect.NewResponse(response), nil
}

// drainOnce makes one attempt to commit the change of the label, based on the configuration in
// force.
func (s *Server) drainOnce(ctx context.Context, message *operatorv1.DrainRequest) (revision registrar.Revision, err error) {
	snapshot := s.settings.Configuration.Current()
	target, ok := snapshot.Target(message.GetTarget())
	if !ok {
		return 0, &UnknownObjectError{Reference: registrar.Reference{Kind: registrar.KindTarget, Name: message.GetTarget()}}
	}
	drained := target.Labels[registrar.LabelDrain] == drainValue
	// Commit nothing if the target is already in the requested state.
	if drained != message.GetUndo() {
		return snapshot.Revision(), nil
	}
	changed := *target
	changed.Labels = maps.Clone(target.Labels)
	comment := "undo the drain of " + target.Name
	if message.GetUndo() {
		delete(changed.Labels, registrar.LabelDrain)
	} else {
		if changed.Labels == nil {
			changed.Labels = registrar.Labels{}
		}
		changed.Labels[registrar.LabelDrain] = drainValue
		comment = "drain " + target.Name
	}
	change := registrar.Change{
		Set:     registrar.Objects{Targets: []registrar.Target{changed}},
		Author:  message.GetAuthor(),
		Comment: comment,
	}
	return s.settings.Configuration.Commit(ctx, snapshot.Revision(), change)
}
