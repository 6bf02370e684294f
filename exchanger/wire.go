package exchanger

import (
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	peerv1 "github.com/rosemaryrill/rosemaryrill/proto/peer/v1"
)

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: defaultDialTimeout}
}

// countBytes reports the body sizes of a call to ClientSettings.Sent and ClientSettings.Received.
func (c *Client) countBytes(request, response proto.Message) {
	if c.settings.Sent != nil {
		c.settings.Sent(proto.Size(request))
	}
	if c.settings.Received != nil {
		c.settings.Received(proto.Size(response))
	}
}

// exchangeMessage is implemented by the request and the response of an exchange.
type exchangeMessage interface {
	GetFrom() *peerv1.Member
	GetMembers() []*peerv1.Member
	GetConfiguration() *peerv1.Digest
	GetSections() []*peerv1.Section
}

func exchangeToWire(message gossiper.Message) *peerv1.ExchangeRequest {
	wire := &peerv1.ExchangeRequest{
		From:          memberToWire(message.From),
		Configuration: digestToWire(message.Configuration),
		Sections:      sectionsToWire(message.Sections),
		Brief:         message.Brief,
	}
	for _, member := range message.Members {
		wire.Members = append(wire.Members, memberToWire(member))
	}
	return wire
}

func exchangeFromWire(wire exchangeMessage) (message gossiper.Message, err error) {
	message.From, err = memberFromWire(wire.GetFrom())
	if err != nil {
		return gossiper.Message{}, err
	}
	for _, member := range wire.GetMembers() {
		known, err := memberFromWire(member)
		if err != nil {
			return gossiper.Message{}, err
		}
		message.Members = append(message.Members, known)
	}
	message.Configuration = digestFromWire(wire.GetConfiguration())
	message.Sections = sectionsFromWire(wire.GetSections())
	return message, nil
}

func memberToWire(member gossiper.Member) *peerv1.Member {
	return &peerv1.Member{
		Name:        member.Name,
		Incarnation: member.Incarnation,
		Address:     member.Address.String(),
		DataCentre:  member.DataCentre,
		Heartbeat:   member.Heartbeat,
		State:       peerv1.MemberState(member.State),
	}
}

func memberFromWire(wire *peerv1.Member) (member gossiper.Member, err error) {
	address, err := netip.ParseAddrPort(wire.GetAddress())
	if err != nil {
		return gossiper.Member{}, err
	}
	return gossiper.Member{
		Name:        wire.GetName(),
		Incarnation: wire.GetIncarnation(),
		Address:     address,
		DataCentre:  wire.GetDataCentre(),
		Heartbeat:   wire.GetHeartbeat(),
		State:       gossiper.State(wire.GetState()),
	}, nil
}

func digestToWire(digest gossiper.Digest) *peerv1.Digest {
	return &peerv1.Digest{Revision: digest.Revision, Hash: digest.Hash}
}

func digestFromWire(wire *peerv1.Digest) gossiper.Digest {
	return gossiper.Digest{Revision: wire.GetRevision(), Hash: wire.GetHash()}
}

func sectionsToWire(sections []gossiper.Section) []*peerv1.Section {
	wire := make([]*peerv1.Section, 0, len(sections))
	for _, section := range sections {
		wire = append(wire, &peerv1.Section{Topic: section.Topic, Data: section.Data})
	}
	return wire
}

func sectionsFromWire(wire []*peerv1.Section) []gossiper.Section {
	sections := make([]gossiper.Section, 0, len(wire))
	for _, section := range wire {
		sections = append(sections, gossiper.Section{Topic: section.GetTopic(), Data: section.GetData()})
	}
	return sections
}

func outcomeToWire(answer dispatcher.Answer, state dispatcher.State) *peerv1.OutcomeResponse {
	return &peerv1.OutcomeResponse{
		State:       outcomeStates[state],
		Status:      int32(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
}

func outcomeFromWire(wire *peerv1.OutcomeResponse) (answer dispatcher.Answer, state dispatcher.State) {
	for candidate, value := range outcomeStates {
		if value == wire.GetState() {
			state = candidate
		}
	}
	answer = dispatcher.Answer{
		Status:      int(wire.GetStatus()),
		ContentType: wire.GetContentType(),
		Body:        wire.GetBody(),
	}
	return answer, state
}

var outcomeStates = map[dispatcher.State]peerv1.OutcomeState{
	dispatcher.StateNotHeld:    peerv1.OutcomeState_OUTCOME_STATE_UNSPECIFIED,
	dispatcher.StateRunning:    peerv1.OutcomeState_OUTCOME_STATE_RUNNING,
	dispatcher.StateDone:       peerv1.OutcomeState_OUTCOME_STATE_DONE,
	dispatcher.StateNotRun:     peerv1.OutcomeState_OUTCOME_STATE_NOT_RUN,
	dispatcher.StateMayHaveRun: peerv1.OutcomeState_OUTCOME_STATE_MAY_HAVE_RUN,
}
