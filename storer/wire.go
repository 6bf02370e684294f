package storer

import (
	"encoding/json"
	"net/netip"
	"time"
)

type wireVersion struct {
	Version uint64 `json:"version"`
}

type wireConflict struct {
	Current uint64 `json:"current"`
}

type wireItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	LeaseID string `json:"lease_id"`
}

type wirePage struct {
	Items    []wireItem `json:"items"`
	More     bool       `json:"more"`
	Revision uint64     `json:"revision"`
}

type wireLease struct {
	LeaseID string `json:"lease_id,omitempty"`
	TTLMS   int64  `json:"ttl_ms"`
	Fencing uint64 `json:"fencing,omitempty"`
}

type wireEvent struct {
	Kind string   `json:"kind"`
	Item wireItem `json:"item"`
}

type wireEvents struct {
	Events    []wireEvent `json:"events"`
	Revision  uint64      `json:"revision"`
	Compacted bool        `json:"compacted"`
}

type wireHost struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

type wireHosts struct {
	Hosts []json.RawMessage `json:"hosts"`
}

func decodeItem(wire wireItem) Item {
	return Item{
		Key:     wire.Key,
		Value:   wire.Value,
		Version: Version(wire.Version),
		Lease:   LeaseID(wire.LeaseID),
	}
}

// decodePage decodes a page. Its revision is a Version because the revision of the store is the
// version of the newest write.
func decodePage(wire wirePage) Page {
	page := Page{More: wire.More, Revision: Version(wire.Revision)}
	for _, item := range wire.Items {
		page.Items = append(page.Items, decodeItem(item))
	}
	return page
}

func decodeLease(wire wireLease) Lease {
	return Lease{
		ID:           LeaseID(wire.LeaseID),
		TTL:          time.Duration(wire.TTLMS) * time.Millisecond,
		FencingToken: wire.Fencing,
	}
}

func decodeEvents(wire wireEvents) Events {
	events := Events{Revision: Version(wire.Revision), Compacted: wire.Compacted}
	for _, event := range wire.Events {
		kind := EventPut
		if event.Kind == "delete" {
			kind = EventDelete
		}
		events.Events = append(events.Events, Event{Kind: kind, Item: decodeItem(event.Item)})
	}
	return events
}

// decodeHosts decodes the host list. It leaves out entries that name no host.
func decodeHosts(wire wireHosts) (hosts []Host) {
	for _, text := range wire.Hosts {
		if host, ok := decodeHost(text); ok {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func decodeHost(text []byte) (host Host, ok bool) {
	var wire wireHost
	if json.Unmarshal(text, &wire) != nil {
		return Host{}, false
	}
	states := map[string]HostState{"live": HostLive, "leaving": HostLeaving}
	address, err := netip.ParseAddr(wire.Address)
	if err != nil || address.IsUnspecified() || states[wire.State] == 0 {
		return Host{}, false
	}
	return Host{Name: wire.Name, Address: address, DataCentre: wire.DataCentre, State: states[wire.State]}, true
}
