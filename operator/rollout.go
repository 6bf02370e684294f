package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	pollInterval = 200 * time.Millisecond
	// unreachableTimeout bounds the wait for unreachable daemons after all others have confirmed.
	unreachableTimeout = 5 * time.Second
)

// NotInForceError reports that not every daemon has confirmed that it has a committed revision in
// force. The revision comes into force in the other daemons as soon as they can be reached.
type NotInForceError struct {
	Revision      registrar.Revision
	Confirmations Confirmations
}

// Error reports the number of daemons in each state.
func (e *NotInForceError) Error() string {
	c := e.Confirmations
	return fmt.Sprintf("revision %d is accepted; %d daemons confirmed it, %d are behind, %d cannot be reached",
		e.Revision, len(c.Confirmed), len(c.Behind), len(c.Unreachable))
}

// Await polls until every daemon has the revision in force. It returns a NotInForceError with
// the last confirmations when the context ends, or when, for unreachableTimeout, all daemons that
// have not confirmed the revision were unreachable.
func (c *Client) Await(ctx context.Context, revision registrar.Revision) (confirmations Confirmations, err error) {
	defer Error.WrapP(&err)
	var onlyUnreachableSince time.Time
	for {
		current, err := c.Confirmations(ctx, revision)
		if err == nil {
			confirmations = current
		}
		if err == nil && current.Complete() {
			return current, nil
		}
		switch {
		case err != nil || len(current.Behind) > 0:
			onlyUnreachableSince = time.Time{}
		case onlyUnreachableSince.IsZero():
			onlyUnreachableSince = time.Now()
		case time.Since(onlyUnreachableSince) >= unreachableTimeout:
			return confirmations, &NotInForceError{Revision: revision, Confirmations: confirmations}
		}
		select {
		case <-ctx.Done():
			return confirmations, &NotInForceError{Revision: revision, Confirmations: confirmations}
		case <-time.After(pollInterval):
		}
	}
}

// Settle waits for a change whose answer was lost. It polls the objects in force until applying the
// change to them would make no difference, and then returns their revision. It returns an
// UnsettledError if the context ends first.
func (c *Client) Settle(ctx context.Context, change registrar.Change) (revision registrar.Revision, err error) {
	defer Error.WrapP(&err)
	for {
		revision, objects, err := c.Get(ctx, registrar.Reference{})
		if err == nil && registrar.Difference(objects, objects.Apply(change)).IsEmpty() {
			return revision, nil
		}
		select {
		case <-ctx.Done():
			return 0, &UnsettledError{Message: "its outcome did not show in time"}
		case <-time.After(pollInterval):
		}
	}
}
