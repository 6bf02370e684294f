package streamer

import (
	"context"
	"net/netip"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// NewEngines adapts a forwarder's client to Engines.
func NewEngines(client *forwarder.Client) Engines {
	return clientEngines{client: client}
}

type clientEngines struct {
	client *forwarder.Client
}

func (c clientEngines) Generate(ctx context.Context, target netip.AddrPort, call forwarder.ModelCall) (stream Stream, err error) {
	opened, err := c.client.Generate(ctx, target, call)
	if err != nil {
		return nil, err
	}
	return opened, nil
}

func (c clientEngines) Resume(ctx context.Context, target netip.AddrPort, runID string, from int) (stream Stream, err error) {
	opened, err := c.client.Resume(ctx, target, runID, from)
	if err != nil {
		return nil, err
	}
	return opened, nil
}

func (c clientEngines) Cancel(ctx context.Context, target netip.AddrPort, runID string) (err error) {
	return c.client.Cancel(ctx, target, runID)
}
