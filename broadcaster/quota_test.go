package broadcaster_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
)

// quotaMessages notes the messages on quotas.
type quotaMessages []string

func (q *quotaMessages) Receive(daemon string, message []byte) {
	*q = append(*q, daemon+" "+string(message))
}

// Guards against messages on quotas that are lost, or that are taken for a sign of the sender's load.
func TestQuotaMessagesAreHandedOver(t *testing.T) {
	var received quotaMessages
	exchange := broadcaster.NewExchange(broadcaster.ExchangeSettings{Name: "a", State: noState{}, Quotas: &received, Now: time.Now})
	payload := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 7)
	for _, datagram := range (broadcaster.Message{Sender: "b", Scope: broadcaster.ScopeReceiver, Quota: payload}).Encode() {
		if _, err := exchange.Receive(datagram); err != nil {
			t.Fatal(err)
		}
	}
	if want := "b " + string(payload); len(received) != 1 || received[0] != want {
		t.Errorf("received %q, want %q", received, want)
	}
	if exchange.PeerCount() != 0 {
		t.Error("the sender counts as a peer")
	}
}
