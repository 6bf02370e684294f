package operator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// The codes of a Refusal.
const (
	refusalConflict      = "conflict"
	refusalInvalid       = "invalid"
	refusalNotApplied    = "not_applied"
	refusalUnsettled     = "unsettled"
	refusalUnknownObject = "unknown_object"
)

// commitErrorToWire converts the error of a commit to a Connect error with a Refusal as detail.
// The code is refusalUnsettled unless the error guarantees that nothing was committed.
func commitErrorToWire(err error) error {
	refusal := &operatorv1.Refusal{Code: refusalUnsettled}
	code := connect.CodeUnknown
	var overlap *configurator.OverlapError
	var base *configurator.BaseError
	var invalid *configurator.InvalidError
	switch {
	case errors.As(err, &overlap):
		code = connect.CodeAborted
		refusal = overlapToWire(overlap)
	case errors.As(err, &base):
		code = connect.CodeAborted
		refusal.Code = refusalConflict
		refusal.CurrentRevision = uint64(base.Current)
	case errors.As(err, &invalid):
		code = connect.CodeInvalidArgument
		refusal.Code = refusalInvalid
		refusal.Violations = violationsToWire(invalid)
	case committedNothing(err):
		code = connect.CodeUnavailable
		refusal.Code = refusalNotApplied
	}
	return withDetail(connect.NewError(code, err), refusal)
}

// committedNothing reports whether the error guarantees that nothing was committed.
func committedNothing(err error) bool {
	var unsettled *configurator.UnsettledError
	var notReady *configurator.NotReadyError
	var behind *configurator.BehindError
	var gap *configurator.GapError
	var unavailable *storer.UnavailableError
	if errors.As(err, &unsettled) {
		return false
	}
	return errors.As(err, &notReady) || errors.As(err, &behind) || errors.As(err, &gap) || errors.As(err, &unavailable)
}

func withDetail(err *connect.Error, refusal *operatorv1.Refusal) error {
	detail, detailErr := connect.NewErrorDetail(refusal)
	if detailErr != nil {
		return errors.Join(err, detailErr)
	}
	err.AddDetail(detail)
	return err
}

func overlapToWire(overlap *configurator.OverlapError) *operatorv1.Refusal {
	refusal := &operatorv1.Refusal{Code: refusalConflict, CurrentRevision: uint64(overlap.Current)}
	for _, o := range overlap.Overlaps {
		refusal.Overlaps = append(refusal.Overlaps, &operatorv1.Overlap{
			Kind:     string(o.Reference.Kind),
			Name:     o.Reference.Name,
			Revision: uint64(o.Revision),
			Author:   o.Author,
		})
	}
	return refusal
}

func violationsToWire(err error) []*operatorv1.Violation {
	var invalid *registrar.InvalidError
	if !errors.As(err, &invalid) {
		return nil
	}
	var wire []*operatorv1.Violation
	for _, v := range invalid.Violations {
		wire = append(wire, &operatorv1.Violation{
			Kind:     string(v.Kind),
			Name:     v.Name,
			Field:    v.Field,
			Found:    v.Found,
			Expected: v.Expected,
		})
	}
	return wire
}

// commitErrorFromWire returns the typed error of a failed Apply or Drain. An error without a
// Refusal did not come from the service, so the outcome of the change is unknown.
func commitErrorFromWire(err error) error {
	refusal, ok := refusalDetail(err)
	if !ok {
		return &UnsettledError{Message: err.Error()}
	}
	switch refusal.GetCode() {
	case refusalConflict:
		return conflictFromWire(refusal, err)
	case refusalInvalid:
		return invalidFromWire(refusal, err)
	case refusalNotApplied:
		return &NotAppliedError{Message: messageOf(err)}
	}
	return &UnsettledError{Message: messageOf(err)}
}

func refusalDetail(err error) (refusal *operatorv1.Refusal, ok bool) {
	var connectError *connect.Error
	if !errors.As(err, &connectError) {
		return nil, false
	}
	for _, detail := range connectError.Details() {
		value, valueErr := detail.Value()
		if valueErr != nil {
			continue
		}
		if refusal, ok = value.(*operatorv1.Refusal); ok {
			return refusal, true
		}
	}
	return nil, false
}

func messageOf(err error) string {
	var connectError *connect.Error
	if errors.As(err, &connectError) {
		return connectError.Message()
	}
	return err.Error()
}

func conflictFromWire(refusal *operatorv1.Refusal, err error) *ConflictError {
	conflict := &ConflictError{
		Current: registrar.Revision(refusal.GetCurrentRevision()),
		Message: messageOf(err),
	}
	for _, o := range refusal.GetOverlaps() {
		conflict.Overlaps = append(conflict.Overlaps, Overlap{
			Reference: registrar.Reference{Kind: registrar.Kind(o.GetKind()), Name: o.GetName()},
			Revision:  registrar.Revision(o.GetRevision()),
			Author:    o.GetAuthor(),
		})
	}
	return conflict
}

func invalidFromWire(refusal *operatorv1.Refusal, err error) *InvalidError {
	invalid := &InvalidError{Message: messageOf(err)}
	for _, v := range refusal.GetViolations() {
		invalid.Violations = append(invalid.Violations, registrar.Violation{
			Kind:     registrar.Kind(v.GetKind()),
			Name:     v.GetName(),
			Field:    v.GetField(),
			Found:    v.GetFound(),
			Expected: v.GetExpected(),
		})
	}
	return invalid
}

// unknownObjectToWire encodes the kind and name of the unknown object as a Violation without a field.
func unknownObjectToWire(unknown *UnknownObjectError) error {
	named := &operatorv1.Violation{Kind: string(unknown.Reference.Kind), Name: unknown.Reference.Name}
	refusal := &operatorv1.Refusal{Code: refusalUnknownObject, Violations: []*operatorv1.Violation{named}}
	return withDetail(connect.NewError(connect.CodeNotFound, unknown), refusal)
}

func unknownObjectFromWire(err error) (unknown *UnknownObjectError, ok bool) {
	refusal, ok := refusalDetail(err)
	if !ok || refusal.GetCode() != refusalUnknownObject || len(refusal.GetViolations()) != 1 {
		return nil, false
	}
	named := refusal.GetViolations()[0]
	return newUnknownObjectError(registrar.Kind(named.GetKind()), named.GetName()), true
}

// retryableApply reports whether a failed Apply may be sent to another daemon: the call did not
// reach the service, or the service refused it without effect.
func retryableApply(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if refusal, ok := refusalDetail(err); ok {
		return refusal.GetCode() == refusalNotApplied
	}
	return isDialError(err)
}
