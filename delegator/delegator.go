// Package delegator passes requests of callers on to another daemon, for a daemon that reaches no target of their service while
// others may.
//
// The other daemon handles the request as if its caller had sent it there: it checks route and key, chooses targets, retries within its
// part of the retry budget, and sends the answer back as it arrives. It does not pass the request on again. The time of arrival goes
// along, so that the caller's deadline stays. If the connection between the daemons breaks, the request may have run.
//
// Daemons of the own data centre are preferred, since bytes between data centres cost more, as long as they have little more of this
// daemon's requests than others. One that could not be reached, or that refused for a reason of its own, is left out for a while. So a
// fleet whose targets are all gone asks each daemon once in that time.
//
// # Usage
//
//	d := delegator.New(delegator.Settings{DataCentre: "north", Header: platform.EncodeCall, Logger: logger})
//	defer d.Close()
//	d.SetPeers(daemons)
//	answer, err := d.Send(ctx, service, call)
//	var unsent *connector.UnsentError
//	if errors.As(err, &unsent) {
//		// No daemon took the request, and none has run it.
//	}
//	defer answer.Close()
package delegator

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/classifier"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/dialer"
	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/hosting/v1/hostingv1connect"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Error is the class of all errors of this package.
var Error = errs.Class("delegator")

const (
	dialTimeout           = 150 * time.Millisecond
	maxIdlePerDaemon      = 32
	idleConnectionTimeout = 10 * time.Second
	// maxTries is the number of daemons to which one request is offered.
	maxTries = 2
	// avoidance is how long a daemon that took no request gets no further ones of that service.
	avoidance = time.Second
	// remoteHandicap is the number of requests by which a daemon of another data centre counts as more loaded.
	remoteHandicap = 4
)

// errNoDaemon is the cause if there is no daemon to which the request could go.
var errNoDaemon = errors.New("no other daemon takes requests of the service")

// Daemon is another daemon.
type Daemon struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
}

// Settings are the parameters of a Delegator.
type Settings struct {
	// DataCentre is the data centre of this daemon.
	DataCentre string
	// Header encodes all of a call that is in its header.
	Header func(call *relayer.Call) http.Header
	// Alive reports whether another daemon is likely to be there. Default: always.
	Alive func(daemon Daemon) bool
	// Memory bounds the memory of the messages that are being sent. Default: no bound.
	Memory *reserver.Memory
	Now    func() time.Time
	Logger *slog.Logger
}

// Delegator passes requests on. Its methods are safe for concurrent use.
type Delegator struct {
	settings Settings
	http     *http.Client

	mu    sync.Mutex
	peers []Daemon
	// open counts the open requests at each daemon, and avoided is the time until which one gets none of a service.
	open    map[netip.AddrPort]int
	avoided map[avoidedKey]time.Time
}

type avoidedKey struct {
	daemon  netip.AddrPort
	service string
}

// New returns a Delegator without peers.
func New(settings Settings) *Delegator {
	if settings.Alive == nil {
		settings.Alive = func(Daemon) bool { return true }
	}
	return &Delegator{
		settings: settings, open: make(map[netip.AddrPort]int), avoided: make(map[avoidedKey]time.Time),
		http: dialer.NewPeerClient(dialer.PeerSettings{DialTimeout: dialTimeout, MaxIdle: maxIdlePerDaemon, IdleTimeout: idleConnectionTimeout}),
	}
}

// Close closes the idle connections.
func (d *Delegator) Close() error {
	d.http.CloseIdleConnections()
	return nil
}

// SetPeers sets the other daemons.
func (d *Delegator) SetPeers(peers []Daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = slices.Clone(peers)
	now := d.settings.Now()
	for key, until := range d.avoided {
		if !until.After(now) {
			delete(d.avoided, key)
		}
	}
}

// Send offers a call to other daemons until one takes it, and returns once the head of its answer or its refusal has arrived. The error
// is a connector.UnsentError if none took it, and a connector.NoResponseError if a target may have run it.
func (d *Delegator) Send(ctx context.Context, service string, call *relayer.Call) (answer *relayer.DelegatedAnswer, err error) {
	defer Error.WrapP(&err)
	share, err := d.acquire(ctx, call)
	if err != nil {
		return nil, &connector.UnsentError{Cause: err}
	}
	defer share.Release() // The message has been sent once there is an answer.
	err = &connector.UnsentError{Cause: errNoDaemon}
	for offers := range maxTries {
		daemon, found := d.take(service)
		if !found {
			return nil, err
		}
		answer, err = d.offer(ctx, daemon, call, offers)
		var unsent *connector.UnsentError
		if !errors.As(err, &unsent) || ctx.Err() != nil {
			return answer, err
		}
		d.avoid(daemon, service, err)
	}
	return nil, err
}

// take returns the daemon that is to get the next request of a service, and counts the request there.
func (d *Delegator) take(service string) (daemon Daemon, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.settings.Now()
	candidates := slices.DeleteFunc(slices.Clone(d.peers), func(peer Daemon) bool {
		return d.avoided[avoidedKey{peer.Address, service}].After(now) || !d.settings.Alive(peer)
	})
	if len(candidates) == 0 {
		return Daemon{}, false
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	daemon = slices.MinFunc(candidates, func(a, b Daemon) int { return cmp.Compare(d.burden(a), d.burden(b)) })
	d.open[daemon.Address]++
	return daemon, true
}

// burden returns the number by which daemons are compared. The caller holds mu.
func (d *Delegator) burden(daemon Daemon) int {
	if daemon.DataCentre != d.settings.DataCentre {
		return d.open[daemon.Address] + remoteHandicap
	}
	return d.open[daemon.Address]
}

// release ends the count of a request at a daemon.
func (d *Delegator) release(daemon Daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open[daemon.Address]--; d.open[daemon.Address] <= 0 {
		delete(d.open, daemon.Address)
	}
}

// avoid leaves out a daemon that took no request.
func (d *Delegator) avoid(daemon Daemon, service string, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[avoidedKey{daemon.Address, service}] = d.settings.Now().Add(avoidance)
	d.settings.Logger.Info("daemon takes no requests", "daemon", daemon.Name, "service", service, "for", avoidance, "error", cause)
}

// offer sends the call to a daemon, after offers to others. A refusal for a reason of that daemon's own is an UnsentError.
func (d *Delegator) offer(ctx context.Context, daemon Daemon, call *relayer.Call, offers int) (answer *relayer.DelegatedAnswer, err error) {
	ctx, cancel := context.WithCancel(ctx)
	end := sync.OnceFunc(func() {
		cancel()
		d.release(daemon)
	})
	defer func() {
		if answer == nil || answer.Refusal != nil {
			end()
		}
	}()
	client := hostingv1connect.NewRelayServiceClient(d.http, "http://"+daemon.Address.String(), connect.WithAcceptCompression("gzip", nil, nil))
	stream, err := client.Relay(ctx, connect.NewRequest(d.encode(ctx, call, offers)))
	if err == nil && !stream.Receive() {
		err = cmp.Or(stream.Err(), errNoHead)
	}
	if err != nil {
		return nil, classify(err)
	}
	switch part := stream.Msg().GetPart().(type) {
	case *hostingv1.RelayResponse_Refusal:
		return decodeRefusal(part.Refusal)
	case *hostingv1.RelayResponse_Head:
		status := int(part.Head.GetStatus())
		if classifier.Classify(status) != classifier.Final {
			_ = stream.Close() // Nothing more is expected of it.
			return nil, &connector.NoResponseError{Cause: &connector.StatusError{Status: status}}
		}
		body := &answerBody{stream: stream, end: end}
		return &relayer.DelegatedAnswer{
			Daemon:   daemon.Name,
			Response: connector.NewResponse(status, decodeHeaders(part.Head.GetHeaders()), body),
			Body:     body,
		}, nil
	}
	return nil, &connector.NoResponseError{Cause: errNoHead}
}

// errNoHead is the cause if an answer begins with neither a head nor a refusal.
var errNoHead = errors.New("the daemon sent no head of an answer")

// classify returns the error for a call that got no answer.
func classify(err error) error {
	var dial *dialer.UnconnectedError
	if errors.As(err, &dial) || connect.CodeOf(err) == connect.CodeUnimplemented { // An earlier release takes no requests.
		return &connector.UnsentError{Cause: err}
	}
	return &connector.NoResponseError{Cause: err}
}

// LocalRefusalError is the cause if a daemon refused a request for a reason that concerns only that daemon.
type LocalRefusalError struct{ Reason relayer.Reason }

// Error names the reason.
func (e *LocalRefusalError) Error() string {
	return "the daemon refused the request: " + string(e.Reason)
}

func decodeRefusal(refusal *hostingv1.RelayRefusal) (*relayer.DelegatedAnswer, error) {
	reason := relayer.Reason(refusal.GetReason())
	if refusal.GetLocal() && refusal.GetNotRun() {
		return nil, &connector.UnsentError{Cause: &LocalRefusalError{Reason: reason}}
	}
	return &relayer.DelegatedAnswer{Refusal: &relayer.Refusal{
		Status: int(refusal.GetStatus()), Reason: reason, NotRun: refusal.GetNotRun(),
		RetryAfter: milliseconds(refusal.GetRetryAfterMs()),
	}}, nil
}
