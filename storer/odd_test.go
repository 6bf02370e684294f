package storer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Guards against one odd entry of the host list with which a daemon learns of no leaving host any more.
func TestOddHostSpoilsNoOther(t *testing.T) {
	for _, odd := range []string{
		`{"name":"odd","address":"10.0.0.900","state":"live"}`, `{"name":"odd","address":"10.0.0.9:80","state":"live"}`,
		`{"name":"odd","address":"","state":"live"}`, `{"name":"odd"}`, `{"name":7,"address":"10.0.0.9","state":"live"}`,
		`{"name":"odd","address":9,"state":"live"}`, `{"name":"odd","address":"0.0.0.0","state":"live"}`,
		`{"name":"odd","address":"10.0.0.9","state":1e400}`, `{"name":"odd","address":"10.0.0.9","state":"strange"}`, `7`, `null`, `[[[]]]`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"hosts":[{"name":"a","address":"10.0.0.1","data_centre":"d","state":"live"},` + odd +
				`,{"name":"b","address":"10.0.0.2","data_centre":"d","state":"leaving"}]}`))
		}))
		client, err := storer.NewClient(storer.Settings{Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}})
		if err != nil {
			t.Fatal(err)
		}
		hosts, err := client.Hosts(t.Context())
		if err != nil || len(hosts) != 2 || hosts[0].Name != "a" || hosts[1].Name != "b" || hosts[1].State != storer.HostLeaving {
			t.Errorf("%s: %+v, %v", odd, hosts, err)
		}
		_ = client.Close()
		server.Close()
	}
}
