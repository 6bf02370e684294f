package exchanger_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/exchanger"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
)

// echo implements the handlers. It returns the content of the request or fixed values, and records
// the last batch and key that Keep and Drop received.
type echo struct {
	dropped string
	kept    []byte
}

func (e *echo) Receive(message gossiper.Message) gossiper.Message { return message }

func (e *echo) EntriesAfter(uint64, int) ([][]byte, []byte, error) {
	return [][]byte{[]byte("one"), []byte("two")}, []byte("state"), nil
}

func (e *echo) Outcome(_ context.Context, id dispatcher.IntentID) (dispatcher.Answer, dispatcher.State, error) {
	return dispatcher.Answer{Status: 200, ContentType: "text/plain", Body: []byte(id.Key + id.Nonce)}, dispatcher.StateDone, nil
}

func (e *echo) Keep(_ string, batch []byte) error {
	e.kept = batch
	return nil
}

func (e *echo) Drop(key string) { e.dropped = key }

func serve(t *testing.T, handlers exchanger.Handlers) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(exchanger.NewHandler(handlers))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestCallsRoundTrip(t *testing.T) {
	e := &echo{}
	address := serve(t, exchanger.Handlers{Gossip: e, Configuration: e, OutcomeLedger: e, RecordCopies: e})
	client := exchanger.NewClient(exchanger.ClientSettings{})
	defer func() { _ = client.Close() }()
	member := gossiper.Member{Name: "a", Incarnation: 3, Address: address, DataCentre: "x", Heartbeat: 4, State: gossiper.StateLeaving}
	message := gossiper.Message{
		From: member, Members: []gossiper.Member{member},
		Configuration: gossiper.Digest{Revision: 9, Hash: []byte{1}},
		Sections:      []gossiper.Section{{Topic: "load", Data: []byte{2}}},
	}
	answer, err := client.Exchange(t.Context(), address, message)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(message, answer, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
	entries, state, err := client.FetchEntries(t.Context(), address, 1, 100)
	if err != nil || len(entries) != 2 || string(state) != "state" {
		t.Errorf("entries %q, state %q, error %v", entries, state, err)
	}
	outcome, known, err := client.Outcome(t.Context(), address, dispatcher.IntentID{Key: "k", Nonce: "n"})
	if err != nil || known != dispatcher.StateDone || string(outcome.Body) != "kn" {
		t.Errorf("outcome %v, state %v, error %v", outcome, known, err)
	}
	if err := client.CopyRecord(t.Context(), address, "key", []byte("batch"), false); err != nil || string(e.kept) != "batch" {
		t.Errorf("kept %q, error %v", e.kept, err)
	}
	if err := client.CopyRecord(t.Context(), address, "key", nil, true); err != nil || e.dropped != "key" {
		t.Errorf("dropped %q, error %v", e.dropped, err)
	}
}

func TestCallToNilHandlerFails(t *testing.T) {
	address := serve(t, exchanger.Handlers{})
	client := exchanger.NewClient(exchanger.ClientSettings{})
	if _, err := client.Exchange(t.Context(), address, gossiper.Message{}); err == nil {
		t.Error("an exchange with a daemon without a gossip handler succeeded")
	}
}
