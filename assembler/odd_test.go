package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// oddEntries are what another writer may leave among the entries of the targets.
func oddEntries() (values []string) {
	entry := func(address, slots, born string) string {
		return fmt.Sprintf(`{"service":"services","address":%s,"zone":"north","version":"v1","slots":%s,"state":"ready","coldRemainingMs":0,"seq":1,"born":%s,"models":[]}`, address, slots, born)
	}
	return []string{
		entry(`"127.0.0.1:0"`, "8", "1700000000123"), entry(`"127.0.0.1:70000"`, "8", "1700000000123"), entry(`"0.0.0.0:1"`, "9223372036854775807", "1"),
		entry(`"127.0.0.1:1"`, "1e400", "1700000000123"), entry(`"127.0.0.1:1"`, "18446744073709551616", "1700000000123"),
		entry(`"127.0.0.1:1"`, "8", "1e400"), entry(`"127.0.0.1:1"`, "8", "1700000000123000"), entry(strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000), "8", "1"),
		strings.Repeat(`{"a":`, 20_000), "\xff\xfe", "", "null", "[]", `{"state":"stopping"}`,
	}
}

// Guards against odd entries of another writer that end daemons, or with which they stop following the list (LOST).
func TestOddEntriesOfTargetsAreLeftOut(t *testing.T) {
	f := newFleet(t, 0)
	for i, odd := range oddEntries() {
		f.store.PutBytes(fmt.Sprintf("servers/a-%d", i), []byte(odd))
	}
	d := f.start(0)
	for i, odd := range oddEntries() {
		f.store.PutBytes(fmt.Sprintf("servers/z-%d", i), []byte(odd))
	}
	for i := range 40 {
		if r := f.call(d, http.MethodPost, "/order/a", fmt.Sprint("o", i), ""); r.status != http.StatusOK {
			t.Errorf("%+v", r)
		}
	}
	// The list is still followed: a target that comes is used, whichever entries are odd.
	added := f.target("added", "services", "")
	for _, service := range f.services {
		service.Drain()
	}
	f.await("request at a new target", func() bool {
		f.call(d, http.MethodGet, "/look/a", "l", "")
		return len(added.Runs()) > 0
	})
	// Its own entry becomes odd, so that it is not used any more once it had the time to write it again.
	f.store.PutBytes("servers/added", []byte(`{"state":"stopping"}`))
	f.await("no request at a target whose entry is odd", func() bool {
		before := len(added.Runs())
		for i := range 20 {
			f.call(d, http.MethodGet, "/look/a", fmt.Sprint("m", i), "")
		}
		return len(added.Runs()) == before
	})
}
