package exchanger

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	peerv1 "github.com/rosemaryrill/rosemaryrill/proto/peer/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/peer/v1/peerv1connect"
)

// GossipReceiver processes the gossip messages of other daemons.
type GossipReceiver interface {
	Receive(message gossiper.Message) gossiper.Message
}

// ConfigurationLog provides the configuration log to daemons with an older revision.
type ConfigurationLog interface {
	// EntriesAfter returns the encoded entries after the revision, or the whole encoded state
	// if the log has discarded those entries.
	EntriesAfter(after uint64, maxBytes int) (entries [][]byte, state []byte, err error)
}

// StateProvider provides the state of this daemon to others, mainly to starting ones.
type StateProvider interface {
	State(maxBytes int) State
}

// OutcomeLedger provides the outcomes of calls that this daemon dispatched. Outcome waits until the
// call has ended or the context is done.
type OutcomeLedger interface {
	Outcome(ctx context.Context, id dispatcher.IntentID) (dispatcher.Answer, dispatcher.State, error)
}

// RecordCopies stores copies of other daemons' batches of the record of outages and refusals until
// the batches are stored on the platform. Drop deletes the copy of a batch.
type RecordCopies interface {
	Keep(key string, batch []byte) error
	Drop(key string)
}

// TopicHandler handles the Ask requests of one topic.
type TopicHandler interface {
	Answer(ctx context.Context, request []byte) (response []byte, err error)
}

// Handlers are the components that serve calls from other daemons. A call to a nil handler fails
// with the code unimplemented.
type Handlers struct {
	Gossip        GossipReceiver
	Configuration ConfigurationLog
	StateProvider StateProvider
	OutcomeLedger OutcomeLedger
	RecordCopies  RecordCopies
	// Topics maps each topic to the handler of its Ask requests.
	Topics map[string]TopicHandler
}

// NewHandler returns the HTTP handler for calls from other daemons and the URL path to mount it at.
func NewHandler(handlers Handlers) (path string, handler http.Handler) {
	return peerv1connect.NewPeerServiceHandler(&service{handlers: handlers}, connect.WithReadMaxBytes(maxMessageBytes))
}

var errNotOffered = errors.New("not offered by this daemon")

type service struct {
	handlers Handlers
}

func unimplementedError() error {
	return connect.NewError(connect.CodeUnimplemented, errNotOffered)
}

// Exchange implements peerv1connect.PeerServiceHandler.
func (s *service) Exchange(_ context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	if s.handlers.Gossip == nil {
		return nil, unimplementedError()
	}
	message, err := exchangeFromWire(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	message.Brief = request.Msg.GetBrief()
	answer := exchangeToWire(s.handlers.Gossip.Receive(message))
	return connect.NewResponse(&peerv1.ExchangeResponse{
		From:          answer.GetFrom(),
		Members:       answer.GetMembers(),
		Configuration: answer.GetConfiguration(),
		Sections:      answer.GetSections(),
	}), nil
}

// FetchEntries implements peerv1connect.PeerServiceHandler.
func (s *service) FetchEntries(_ context.Context, request *connect.Request[peerv1.FetchEntriesRequest]) (*connect.Response[peerv1.FetchEntriesResponse], error) {
	if s.handlers.Configuration == nil {
		return nil, unimplementedError()
	}
	entries, state, err := s.handlers.Configuration.EntriesAfter(request.Msg.GetAfter(), int(request.Msg.GetMaxBytes()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.FetchEntriesResponse{Entries: entries, State: state}), nil
}

// FetchState implements peerv1connect.PeerServiceHandler.
func (s *service) FetchState(_ context.Context, request *connect.Request[peerv1.FetchStateRequest]) (*connect.Response[peerv1.FetchStateResponse], error) {
	if s.handlers.StateProvider == nil {
		return nil, unimplementedError()
	}
	state := s.handlers.StateProvider.State(int(request.Msg.GetMaxBytes()))
	return connect.NewResponse(&peerv1.FetchStateResponse{
		Configuration: digestToWire(state.Configuration),
		InForce:       state.InForce,
		Ready:         state.Ready,
		Sections:      sectionsToWire(state.Sections),
	}), nil
}

// Outcome implements peerv1connect.PeerServiceHandler.
func (s *service) Outcome(ctx context.Context, request *connect.Request[peerv1.OutcomeRequest]) (*connect.Response[peerv1.OutcomeResponse], error) {
	if s.handlers.OutcomeLedger == nil {
		return nil, unimplementedError()
	}
	id := dispatcher.IntentID{Key: request.Msg.GetKey(), Nonce: request.Msg.GetNonce()}
	answer, state, err := s.handlers.OutcomeLedger.Outcome(ctx, id)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(outcomeToWire(answer, state)), nil
}

// CopyRecord implements peerv1connect.PeerServiceHandler.
func (s *service) CopyRecord(_ context.Context, request *connect.Request[peerv1.CopyRecordRequest]) (*connect.Response[peerv1.CopyRecordResponse], error) {
	if s.handlers.RecordCopies == nil {
		return nil, unimplementedError()
	}
	if request.Msg.GetDrop() {
		s.handlers.RecordCopies.Drop(request.Msg.GetKey())
		return connect.NewResponse(&peerv1.CopyRecordResponse{}), nil
	}
	if err := s.handlers.RecordCopies.Keep(request.Msg.GetKey(), request.Msg.GetBatch()); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(&peerv1.CopyRecordResponse{}), nil
}

// Ask implements peerv1connect.PeerServiceHandler.
func (s *service) Ask(ctx context.Context, request *connect.Request[peerv1.AskRequest]) (*connect.Response[peerv1.AskResponse], error) {
	handler, ok := s.handlers.Topics[request.Msg.GetTopic()]
	if !ok {
		return nil, unimplementedError()
	}
	data, err := handler.Answer(ctx, request.Msg.GetData())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&peerv1.AskResponse{Data: data}), nil
}
