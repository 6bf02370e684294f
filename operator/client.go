package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/operator/v1/operatorv1connect"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

const defaultDialTimeout = 2 * time.Second

// ClientSettings are the settings of a Client.
type ClientSettings struct {
	// Daemons are the addresses of the operators' ports of one or more daemons, tried in order.
	Daemons []netip.AddrPort
	// Token is sent as a bearer token with each call; it may be empty.
	Token string
	// TLS, if set, encrypts the calls.
	TLS *tls.Config
	// DialTimeout bounds the connection attempt to one daemon; 2 s by default.
	DialTimeout time.Duration
}

// Client calls the operators' service and tries the next daemon if a call fails. Apply is sent to
// another daemon only if the failed call certainly committed nothing. All other calls are idempotent;
// retryableIdempotent lists the errors after which they are not sent again.
type Client struct {
	settings  ClientSettings
	transport *http.Transport
	services  []operatorv1connect.OperatorServiceClient
}

// NewClient returns a Client, which connects on its first call.
func NewClient(settings ClientSettings) *Client {
	if settings.DialTimeout == 0 {
		settings.DialTimeout = defaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, TLSClientConfig: settings.TLS}
	scheme := "http://"
	if settings.TLS != nil {
		scheme = "https://"
	}
	c := &Client{settings: settings, transport: transport}
	interceptor := connect.UnaryInterceptorFunc(c.authorize)
	for _, daemon := range settings.Daemons {
		service := operatorv1connect.NewOperatorServiceClient(
			&http.Client{Transport: &encryptionChecker{next: transport}},
			scheme+daemon.String(),
			connect.WithInterceptors(interceptor),
			connect.WithReadMaxBytes(maxMessageBytes),
		)
		c.services = append(c.services, service)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

func (c *Client) authorize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if c.settings.Token != "" {
			request.Header().Set("Authorization", bearerPrefix+c.settings.Token)
		}
		return next(ctx, request)
	}
}

// rpcMethod is a method of the generated client.
type rpcMethod[Q, A any] func(operatorv1connect.OperatorServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// call sends the request to the daemons in order until one answers. It stops at a rejected token,
// a port that speaks TLS, an unknown object or an error for which mayRetry is false, and returns an UnreachableError if
// every daemon failed.
func call[Q, A any](ctx context.Context, c *Client, mayRetry func(error) bool, message *Q, method rpcMethod[Q, A]) (answer *A, err error) {
	unreachable := &UnreachableError{}
	for i, service := range c.services {
		response, err := method(service, ctx, connect.NewRequest(message))
		if err == nil {
			return response.Msg, nil
		}
		if connect.CodeOf(err) == connect.CodeUnauthenticated {
			return nil, &UnauthenticatedError{Daemon: c.settings.Daemons[i]}
		}
		var encrypted *EncryptedPortError
		if errors.As(err, &encrypted) {
			return nil, &EncryptedPortError{Daemon: c.settings.Daemons[i]}
		}
		if unknown, ok := unknownObjectFromWire(err); ok {
			return nil, unknown
		}
		if !mayRetry(err) {
			return nil, err
		}
		unreachable.Attempts = append(unreachable.Attempts, Attempt{Daemon: c.settings.Daemons[i], Reason: messageOf(err)})
	}
	return nil, unreachable
}

// retryableIdempotent reports whether a failed idempotent call may be sent to another daemon.
func retryableIdempotent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeInvalidArgument, connect.CodeInternal, connect.CodeCanceled:
		return false
	}
	return true
}

// isDialError reports whether no connection could be opened, so that the call was not sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Apply commits a change that was computed from the base revision. It returns a ConflictError, an
// InvalidError, a NotAppliedError, an UnreachableError or an UnauthenticatedError if the change did not
// take effect, and an UnsettledError if the outcome is unknown.
func (c *Client) Apply(ctx context.Context, base registrar.Revision, change registrar.Change) (revision registrar.Revision, err error) {
	defer Error.WrapP(&err)
	data, err := encoder.EncodeChange(change)
	if err != nil {
		return 0, err
	}
	request := &operatorv1.ApplyRequest{BaseRevision: uint64(base), Change: data}
	answer, err := call(ctx, c, func(err error) bool { return retryableApply(ctx, err) }, request, operatorv1connect.OperatorServiceClient.Apply)
	if err != nil {
		return 0, changeError(err)
	}
	return registrar.Revision(answer.GetRevision()), nil
}

// Drain excludes the target from new requests, or includes it again if undo is set. It returns
// the errors of Apply, and an UnknownObjectError if the target is not in force.
func (c *Client) Drain(ctx context.Context, target string, undo bool, author string) (revision registrar.Revision, err error) {
	defer Error.WrapP(&err)
	request := &operatorv1.DrainRequest{Target: target, Undo: undo, Author: author}
	// The server skips the commit if the target is already in the requested state, so a drain is
	// idempotent.
	answer, err := call(ctx, c, retryableIdempotent, request, operatorv1connect.OperatorServiceClient.Drain)
	if err != nil {
		return 0, changeError(err)
	}
	return registrar.Revision(answer.GetRevision()), nil
}

// changeError converts the error of a failed Apply or Drain to one of the typed errors.
func changeError(err error) error {
	var unreachable *UnreachableError
	var denied *UnauthenticatedError
	var unknown *UnknownObjectError
	var encrypted *EncryptedPortError
	if errors.As(err, &unreachable) || errors.As(err, &denied) || errors.As(err, &unknown) || errors.As(err, &encrypted) {
		return err
	}
	return commitErrorFromWire(err)
}

// Get returns the object in force with the kind and name of the reference. An empty name selects
// all objects of the kind, an empty kind all objects.
func (c *Client) Get(ctx context.Context, reference registrar.Reference) (revision registrar.Revision, objects registrar.Objects, err error) {
	defer Error.WrapP(&err)
	request := &operatorv1.GetRequest{Kind: string(reference.Kind), Name: reference.Name}
	answer, err := call(ctx, c, retryableIdempotent, request, operatorv1connect.OperatorServiceClient.Get)
	if err != nil {
		return 0, registrar.Objects{}, err
	}
	objects, err = encoder.DecodeObjects(answer.GetObjects())
	return registrar.Revision(answer.GetRevision()), objects, err
}

// Diff returns the change that turns the objects in force into the given ones. The change removes
// objects that are in force but not given only if prune is set.
func (c *Client) Diff(ctx context.Context, objects registrar.Objects, prune bool) (revision registrar.Revision, change registrar.Change, err error) {
	defer Error.WrapP(&err)
	data, err := encoder.EncodeObjects(objects)
	if err != nil {
		return 0, registrar.Change{}, err
	}
	request := &operatorv1.DiffRequest{Objects: data, Prune: prune}
	answer, err := call(ctx, c, retryableIdempotent, request, operatorv1connect.OperatorServiceClient.Diff)
	if err != nil {
		return 0, registrar.Change{}, err
	}
	change, err = encoder.DecodeChange(answer.GetChange())
	return registrar.Revision(answer.GetRevision()), change, err
}

// Confirmations returns which daemons have the revision or a newer one in force.
func (c *Client) Confirmations(ctx context.Context, revision registrar.Revision) (confirmations Confirmations, err error) {
	defer Error.WrapP(&err)
	request := &operatorv1.ConfirmationsRequest{Revision: uint64(revision)}
	answer, err := call(ctx, c, retryableIdempotent, request, operatorv1connect.OperatorServiceClient.Confirmations)
	if err != nil {
		return Confirmations{}, err
	}
	confirmations = Confirmations{
		Confirmed:   mapList(answer.GetConfirmed(), memberFromWire),
		Behind:      mapList(answer.GetBehind(), memberFromWire),
		Unreachable: mapList(answer.GetUnreachable(), memberFromWire),
	}
	return confirmations, nil
}

// Status returns the status of the first daemon that answers, with its view of the fleet.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	defer Error.WrapP(&err)
	answer, err := call(ctx, c, retryableIdempotent, &operatorv1.StatusRequest{}, operatorv1connect.OperatorServiceClient.Status)
	if err != nil {
		return Status{}, err
	}
	return statusFromWire(answer), nil
}

// Explain returns the routing decision for a request. It returns an UnknownObjectError if an
// object that the request names is not in force.
func (c *Client) Explain(ctx context.Context, request registrar.Request) (explanation Explanation, err error) {
	defer Error.WrapP(&err)
	wire := &operatorv1.ExplainRequest{
		Account: request.Account,
		Model:   request.Model,
		Version: request.Version,
		Service: request.Service,
	}
	answer, err := call(ctx, c, retryableIdempotent, wire, operatorv1connect.OperatorServiceClient.Explain)
	if err != nil {
		return Explanation{}, err
	}
	return explanationFromWire(answer), nil
}

// Report returns the outages and refusals that were recorded from one time to the other.
func (c *Client) Report(ctx context.Context, from, to time.Time) (report reporter.Report, err error) {
	defer Error.WrapP(&err)
	request := &operatorv1.ReportRequest{FromUnixMs: from.UnixMilli(), ToUnixMs: to.UnixMilli()}
	answer, err := call(ctx, c, retryableIdempotent, request, operatorv1connect.OperatorServiceClient.Report)
	if err != nil {
		return reporter.Report{}, err
	}
	report = reporter.Report{
		From:    from,
		To:      to,
		Entries: mapList(answer.GetEntries(), entryFromWire),
		Gaps:    mapList(answer.GetGaps(), gapFromWire),
	}
	return report, nil
}
