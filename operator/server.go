package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/operator/v1/operatorv1connect"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	maxMessageBytes = 64 << 20
	bearerPrefix    = "Bearer "
)

// Settings are the parameters of a Server.
type Settings struct {
	// Daemon is the name of this daemon, and DataCentre that of its data centre.
	Daemon     string
	DataCentre string
	// TokenDigest is the digest of the operators' token; the zero value disables authentication.
	TokenDigest   registrar.KeyDigest
	Configuration Configuration
	Fleet         Fleet
	Targets       Targets
	Record        RecordReader
}

// Server implements the operators' service of one daemon.
type Server struct {
	settings Settings
}

// NewServer returns a Server.
func NewServer(settings Settings) *Server {
	return &Server{settings: settings}
}

// Handler returns the path of the service and its handler.
func (s *Server) Handler() (path string, handler http.Handler) {
	return operatorv1connect.NewOperatorServiceHandler(
		s,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(s.authorize)),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

// authorize is an interceptor that rejects calls without the operators' token.
func (s *Server) authorize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if !s.validAuthorization(request.Header().Get("Authorization")) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("wrong or missing operators' token"))
		}
		return next(ctx, request)
	}
}

func (s *Server) validAuthorization(authorization string) bool {
	if s.settings.TokenDigest == (registrar.KeyDigest{}) {
		return true
	}
	token, found := strings.CutPrefix(authorization, bearerPrefix)
	digest := sha256.Sum256([]byte(token))
	equal := subtle.ConstantTimeCompare(digest[:], s.settings.TokenDigest[:]) == 1
	return found && equal
}

// Apply commits a change.
func (s *Server) Apply(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	if err := takeMemory(ctx, request.Msg.GetChange()); err != nil {
		return nil, err
	}
	change, err := encoder.DecodeChange(request.Msg.GetChange())
	if err != nil {
		refusal := &operatorv1.Refusal{Code: refusalInvalid}
		return nil, withDetail(connect.NewError(connect.CodeInvalidArgument, err), refusal)
	}
	revision, err := s.settings.Configuration.Commit(ctx, registrar.Revision(request.Msg.GetBaseRevision()), change)
	if err != nil {
		return nil, commitErrorToWire(err)
	}
	response := &operatorv1.ApplyResponse{Revision: uint64(revision), Daemon: s.settings.Daemon}
	return connect.NewResponse(response), nil
}

// Get returns the objects in force with the requested kind and name. An empty name selects all
// objects of the kind, an empty kind all objects.
func (s *Server) Get(_ context.Context, request *connect.Request[operatorv1.GetRequest]) (*connect.Response[operatorv1.GetResponse], error) {
	snapshot := s.settings.Configuration.Current()
	objects := snapshot.Objects()
	if request.Msg.GetKind() != "" {
		reference := registrar.Reference{Kind: registrar.Kind(request.Msg.GetKind()), Name: request.Msg.GetName()}
		objects = objects.Select(reference)
		if reference.Name != "" && len(objects.References()) == 0 {
			return nil, unknownObjectToWire(&UnknownObjectError{Reference: reference})
		}
	}
	data, err := encoder.EncodeObjects(objects)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	response := &operatorv1.GetResponse{Revision: uint64(snapshot.Revision()), Objects: data}
	return connect.NewResponse(response), nil
}

// Diff returns the change that turns the objects in force into the given ones. Without prune, the
// change removes no objects.
func (s *Server) Diff(ctx context.Context, request *connect.Request[operatorv1.DiffRequest]) (*connect.Response[operatorv1.DiffResponse], error) {
	if err := takeMemory(ctx, request.Msg.GetObjects()); err != nil {
		return nil, err
	}
	desired, err := encoder.DecodeObjects(request.Msg.GetObjects())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	snapshot := s.settings.Configuration.Current()
	change := registrar.Difference(snapshot.Objects(), desired)
	if !request.Msg.GetPrune() {
		change.Remove = nil
	}
	data, err := encoder.EncodeChange(change)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	response := &operatorv1.DiffResponse{Revision: uint64(snapshot.Revision()), Change: data}
	return connect.NewResponse(response), nil
}

// Confirmations returns which daemons of the fleet have the revision or a newer one in force.
func (s *Server) Confirmations(ctx context.Context, request *connect.Request[operatorv1.ConfirmationsRequest]) (*connect.Response[operatorv1.ConfirmationsResponse], error) {
	members, err := s.settings.Fleet.Members(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &operatorv1.ConfirmationsResponse{}
	for _, member := range members {
		wire := memberToWire(member)
		switch {
		case member.State == MemberUnreachable:
			response.Unreachable = append(response.Unreachable, wire)
		case uint64(member.Revision) >= request.Msg.GetRevision():
			response.Confirmed = append(response.Confirmed, wire)
		default:
			response.Behind = append(response.Behind, wire)
		}
	}
	return connect.NewResponse(response), nil
}

// Status returns the status of this daemon and its view of the other daemons and the targets.
func (s *Server) Status(ctx context.Context, _ *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	members, err := s.settings.Fleet.Members(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	snapshot := s.settings.Configuration.Current()
	response := &operatorv1.StatusResponse{
		Daemon:     s.settings.Daemon,
		DataCentre: s.settings.DataCentre,
		Revision:   uint64(snapshot.Revision()),
		NotReady:   s.settings.Fleet.NotReady(),
	}
	for _, alarm := range s.settings.Configuration.Alarms() {
		response.Alarms = append(response.Alarms, alarmToWire(alarm))
	}
	for _, member := range members {
		response.Members = append(response.Members, memberToWire(member))
	}
	targets := snapshot.Objects().Targets
	for i := range targets {
		response.Targets = append(response.Targets, s.targetStatus(&targets[i]))
	}
	return connect.NewResponse(response), nil
}

func (s *Server) targetStatus(target *registrar.Target) *operatorv1.TargetStatus {
	health := s.settings.Targets.Health(target.Name)
	if target.Labels[registrar.LabelDrain] == drainValue {
		health.Usable = false
		health.Reason = reasonDrained
	}
	return targetToWire(target, health)
}

// Report returns the outages and refusals that were recorded in the requested range of time.
func (s *Server) Report(ctx context.Context, request *connect.Request[operatorv1.ReportRequest]) (*connect.Response[operatorv1.ReportResponse], error) {
	from := time.UnixMilli(request.Msg.GetFromUnixMs())
	to := time.UnixMilli(request.Msg.GetToUnixMs())
	if !from.Before(to) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the range of time is empty"))
	}
	report, err := s.settings.Record.Read(ctx, from, to)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(reportToWire(report)), nil
}
