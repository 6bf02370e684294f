package operator_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/operator"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/operator/v1/operatorv1connect"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Guards against changes of legal size that are decoded into many times as much memory.
func TestChangesWithManyValuesAreRefusedBeforeTheyAreDecoded(t *testing.T) {
	memory := reserver.NewMemory(4 << 20)
	mux := http.NewServeMux()
	mux.Handle(operator.NewServer(operator.Settings{}).Handler()) // Without a configuration, a change that is decoded panics.
	server := httptest.NewServer(memory.Handler(mux, "operators"))
	defer server.Close()
	client := operatorv1connect.NewOperatorServiceClient(server.Client(), "http://"+netip.MustParseAddrPort(server.Listener.Addr().String()).String())
	list := "[" + strings.Repeat("{},", 20_000) + "{}]"
	_, err := client.Apply(t.Context(), connect.NewRequest(&operatorv1.ApplyRequest{Change: []byte(`{"set":{"targets":` + list + `}}`)}))
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("apply: %v", err)
	}
	_, err = client.Diff(t.Context(), connect.NewRequest(&operatorv1.DiffRequest{Objects: []byte(`{"targets":` + list + `}`)}))
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("diff: %v", err)
	}
	if memory.Held() != 0 {
		t.Errorf("%d bytes are still held", memory.Held())
	}
}
