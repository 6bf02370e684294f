package assembler

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/delegator"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/prober"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

const (
	// maxDelegated bounds the requests of other daemons that are open at once.
	maxDelegated = 96
	// checkedNeighbours is the number of other targets that are tried before a refused connection counts as the end of a target.
	checkedNeighbours = 3
)

// delegation passes requests on to other daemons while this one reaches no target, takes such requests of others, and finds out
// which targets are reached.
type delegation struct {
	*delegator.Delegator
	handler *delegator.Handler
	prober  *prober.Prober
}

func (d *Daemon) newDelegation() delegation {
	return delegation{
		Delegator: delegator.New(delegator.Settings{
			DataCentre: d.settings.DataCentre, Header: platform.EncodeCall, Memory: d.memory, Now: time.Now, Logger: d.loggerFor("delegator"),
			Alive: func(daemon delegator.Daemon) bool {
				return d.broadcaster.Alive(broadcaster.Peer{Name: daemon.Name, DataCentre: daemon.DataCentre})
			},
		}),
		handler: delegator.NewHandler(delegator.HandlerSettings{
			MaxOpen: maxDelegated, Memory: d.memory, Now: time.Now,
			Serve: func(ctx context.Context, w http.ResponseWriter, request delegator.Request) {
				d.edge.serveDelegated(ctx, w, request)
			},
		}),
		prober: prober.New(prober.Settings{Targets: d.view.placer, Reach: d.connector.Reach, Now: time.Now, Logger: d.loggerFor("prober")}),
	}
}

// setDelegates sets the daemons to which requests may be passed on.
func (d *Daemon) setDelegates(peers []broadcaster.Peer) {
	d.delegation.SetPeers(convertPeers(peers, func(peer broadcaster.Peer) delegator.Daemon {
		return delegator.Daemon{Name: peer.Name, DataCentre: peer.DataCentre, Address: peer.Address}
	}))
}

// convertPeers returns the peers as another package needs them.
func convertPeers[T any](peers []broadcaster.Peer, convert func(broadcaster.Peer) T) []T {
	converted := make([]T, 0, len(peers))
	for _, peer := range peers {
		converted = append(converted, convert(peer))
	}
	return converted
}

func (g delegation) close() error {
	return errors.Join(g.prober.Close(), g.Delegator.Close())
}

// targetRefuses reports whether nothing listens at the address of a target. While links are lost, connections to sound targets may be
// refused too, so one of some other targets has to be reached.
func (d *Daemon) targetRefuses(ctx context.Context, address netip.AddrPort) bool {
	if !d.connector.Refuses(ctx, address) {
		return false
	}
	neighbours := d.view.placer.Neighbours(address, checkedNeighbours)
	for _, neighbour := range neighbours {
		if d.connector.Reach(ctx, neighbour) == nil {
			return true
		}
	}
	if len(neighbours) > 0 {
		d.logger.Info("refused connection shows no crash, since other targets are not reached either", "address", address)
	}
	return len(neighbours) == 0
}

// serveDelegated handles a request that another daemon passed on.
func (e *edge) serveDelegated(ctx context.Context, w http.ResponseWriter, request delegator.Request) {
	location, err := url.ParseRequestURI(request.URI)
	if err != nil {
		refuseDelegated(w, relayer.Refusal{Status: http.StatusBadRequest, Reason: relayer.ReasonMalformed, NotRun: true})
		return
	}
	r := &http.Request{Method: request.Method, URL: location, RequestURI: request.URI, Host: request.Host, Header: request.Header}
	call, err := platform.DecodeCall(r, request.Body, request.ArrivedAt)
	if err != nil {
		refuseDelegated(w, relayer.Refusal{Status: http.StatusBadRequest, Reason: relayer.ReasonMalformed, NotRun: true})
		return
	}
	call.Delegated, call.Chunked = true, request.Chunked
	e.relayer.Relay(otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(request.Header)), w, call)
}

func refuseDelegated(w http.ResponseWriter, refusal relayer.Refusal) {
	if writer, ok := w.(relayer.RefusalWriter); ok {
		writer.WriteRefusal(refusal)
	}
}
