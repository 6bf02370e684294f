package streamer

import (
	"context"
	"net/netip"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// NewEngineClient adapts a forwarder's client to EngineClient.
func NewEngineClient(client *forwarder.Client) EngineClient {
	return forwarderClient{client: client}
}

type forwarderClient struct {
	client *forwarder.Client
}

func (c forwarderClient) Generate(ctx context.Context, target netip.AddrPort, call forwarder.ModelCall) (stream Stream, err error) {
	opened, err := c.client.Generate(ctx, target, call)
	if err != nil {
		return nil, err
	}
	return opened, nil
}

func (c forwarderClient) Resume(ctx context.Context, target netip.AddrPort, runID string, from int) (stream Stream, err error) {
	opened, err := c.client.Resume(ctx, target, runID, from)
	if err != nil {
		return nil, err
	}
	return opened, nil
}

func (c forwarderClient) Cancel(ctx context.Context, target netip.AddrPort, runID string) (err error) {
	return c.client.Cancel(ctx, target, runID)
}
