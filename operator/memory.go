package operator

import (
	"context"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/estimator"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// What the values of a change hold at most once they are decoded, in bytes, beside their text: an element of a list, such as a target, an object and
// a member of one.
const (
	elementBytes = 512
	objectBytes  = 256
	memberBytes  = 96
)

// takeMemory takes memory for the values in a change or in objects, before they are decoded.
func takeMemory(ctx context.Context, encoded []byte) error {
	values, err := estimator.JSON(encoded)
	if err != nil {
		return withDetail(connect.NewError(connect.CodeInvalidArgument, err), &operatorv1.Refusal{Code: refusalInvalid})
	}
	bytes := elementBytes*values.Elements + objectBytes*values.Objects + memberBytes*values.Members
	if err := reserver.MessageShare(ctx).GrowDecoded(ctx, bytes); err != nil {
		return withDetail(connect.NewError(connect.CodeResourceExhausted, err), &operatorv1.Refusal{Code: refusalNotApplied})
	}
	return nil
}
