package detector

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// NewPoller returns a Poller that uses a forwarder's client.
func NewPoller(client *forwarder.Client) Poller {
	return clientPoller{client: client}
}

type clientPoller struct {
	client *forwarder.Client
}

// Poll polls the target until the context ends.
func (p clientPoller) Poll(ctx context.Context, target Target, fresh bool) (report Report, err error) {
	load, err := PollLoad(ctx, p.client, target, fresh)
	if err != nil {
		return Report{}, err
	}
	return ReportOf(load), nil
}

// PollLoad polls the target for its complete load until the context ends. It returns a
// RefusedError if the target refused the connection.
func PollLoad(ctx context.Context, client *forwarder.Client, target Target, fresh bool) (load forwarder.Load, err error) {
	wait := DefaultPollTimeout
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	load, err = client.Poll(ctx, target.Address, target.Service, fresh, wait)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return forwarder.Load{}, &RefusedError{Target: target.Name, Cause: err}
	}
	return load, err
}

// ReportOf returns the part of a load that the detector uses.
func ReportOf(load forwarder.Load) Report {
	return Report{
		Incarnation: load.Incarnation, Progress: load.Progress, Running: load.Running,
		Waiting: load.Waiting, WaitingTokens: load.WaitingTokens, Leaving: load.Leaving,
	}
}

// codeLeaving is the error code with which a leaving engine refuses calls.
const codeLeaving = "leaving"

// ObserveFailure records what the error of a call shows about its target: a refused connection or
// a target that is leaving. It ignores other errors.
func (d *Detector) ObserveFailure(target string, err error) {
	var refused *forwarder.RefusedError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		d.ObserveRefused(target)
	case errors.As(err, &refused) && refused.Code == codeLeaving:
		d.ObserveLeaving(target)
	}
}
