package operator_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/operator"
	operatorv1 "github.com/rosemaryrill/rosemaryrill/proto/operator/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/operator/v1/operatorv1connect"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Guards against changes of legal size that are decoded into many times as much memory.
func TestChangesWithManyValuesAreRefusedBeforeTheyAreDecoded(t *testing.T) {
	memory := reserver.NewMemory(4 << 20)
	mux := http.NewServeMux()
	mux.Handle(operator.NewServer(operator.Settings{}).Handler()) // Without a configuration, a change that is decoded panics.
	server := httptest.NewServer(memory.Handler(mux, "operators"))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	applier := operator.NewClient(operator.ClientSettings{Daemons: []netip.AddrPort{address}})
	var refused *operator.UnreachableError // No daemon took the change, so it is not in force.
	change := registrar.Change{Set: registrar.Objects{Accounts: make([]registrar.Account, 20_000)}}
	if _, err := applier.Apply(t.Context(), 0, change); !errors.As(err, &refused) {
		t.Errorf("apply: %v", err)
	}
	client := operatorv1connect.NewOperatorServiceClient(server.Client(), "http://"+address.String())
	list := "[" + strings.Repeat("{},", 20_000) + "{}]"
	_, err := client.Diff(t.Context(), connect.NewRequest(&operatorv1.DiffRequest{Objects: []byte(`{"targets":` + list + `}`)}))
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("diff: %v", err)
	}
	if memory.Held() != 0 {
		t.Errorf("%d bytes are still held", memory.Held())
	}
}
