package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// view is the platform's store as one daemon sees it: replicas and peers have the addresses of the daemon's links to them.
type view struct {
	world  *world
	daemon *daemon
	server *http.Server

	mu    sync.Mutex
	links map[netip.AddrPort]*link // by the address to which they lead
}

// addView starts a view for a daemon and returns its address.
func (w *world) addView(d *daemon) (netip.AddrPort, error) {
	v := &view{world: w, daemon: d, links: make(map[netip.AddrPort]*link)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	v.server = &http.Server{Handler: v, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = v.server.Serve(listener) }() // It returns when the server is closed.
	w.views = append(w.views, v)
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// ServeHTTP passes a call on to the store and puts the addresses of links into the answer.
func (v *view) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+v.world.store.Address().String()+r.URL.RequestURI(), r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if path := r.URL.Path; response.StatusCode == http.StatusOK && (path == "/kv-range" || path == "/kv-watch") {
		body = v.rewrite(body)
	}
	rw.Header().Set("Store-Era", response.Header.Get("Store-Era"))
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(response.StatusCode)
	_, _ = rw.Write(body) // Fails only if the daemon is gone.
}

func (v *view) rewrite(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var answer map[string]any
	if decoder.Decode(&answer) != nil {
		return body
	}
	for _, name := range []string{"items", "events"} {
		list, _ := answer[name].([]any)
		for _, element := range list {
			if item, ok := element.(map[string]any); ok {
				v.rewriteItem(item)
			}
		}
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return encoded
}

func (v *view) rewriteItem(item map[string]any) {
	key, _ := item["key"].(string)
	encoded, _ := item["value"].(string)
	var value []byte
	if json.Unmarshal([]byte(`"`+encoded+`"`), &value) != nil || len(value) == 0 {
		return
	}
	switch {
	case strings.HasPrefix(key, "servers/"):
		var entry map[string]any
		if json.Unmarshal(value, &entry) != nil {
			return
		}
		text, _ := entry["address"].(string)
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return
		}
		entry["address"] = v.link(address, false).local.String()
		if replaced, err := json.Marshal(entry); err == nil {
			item["value"] = replaced
		}
	case strings.HasPrefix(key, "rill/hosts/"):
		text, rest, _ := strings.Cut(string(value), " ")
		address, err := netip.ParseAddrPort(text)
		if err != nil || address == v.daemon.peers {
			return
		}
		item["value"] = []byte(v.link(address, true).local.String() + " " + rest)
	}
}

// link returns the daemon's link to an address.
func (v *view) link(address netip.AddrPort, withDatagrams bool) *link {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.links[address]; known != nil {
		return known
	}
	l, err := newLink(address, withDatagrams)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	v.links[address] = l
	v.world.mu.Lock()
	v.world.links = append(v.world.links, l)
	v.world.mu.Unlock()
	return l
}

// cutZones cuts or heals all links between daemons and replicas of a zone and those of other zones, as a cut of the zone does. Clients
// and the store still reach all daemons.
func (w *world) cutZone(zone string, cut bool) error {
	zones := make(map[netip.AddrPort]string)
	for _, d := range w.daemons {
		zones[d.peers] = d.zone
	}
	for _, r := range w.replicas {
		zones[r.address] = r.zone
	}
	for _, v := range w.views {
		v.mu.Lock()
		for address, l := range v.links {
			if (v.daemon.zone == zone) == (zones[address] == zone) {
				continue
			}
			if cut {
				l.cut()
			} else if err := l.heal(); err != nil {
				v.mu.Unlock()
				return err
			}
		}
		v.mu.Unlock()
	}
	w.note("zone %s cut off: %v", zone, cut)
	return nil
}
