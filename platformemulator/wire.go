package platformemulator

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

type wireError struct {
	Error string `json:"error"`
}

type wireConflict struct {
	Current uint64 `json:"current"`
}

type wireVersion struct {
	Version uint64 `json:"version"`
}

type wireItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	LeaseID string `json:"lease_id,omitempty"`
}

type wirePage struct {
	Items    []wireItem `json:"items"`
	More     bool       `json:"more"`
	Revision uint64     `json:"revision"`
}

type wireLease struct {
	LeaseID string `json:"lease_id"`
	TTLMS   int64  `json:"ttl_ms"`
	Fencing uint64 `json:"fencing"`
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
	Hosts []wireHost `json:"hosts"`
}

type wireFaults struct {
	Outage       bool  `json:"outage"`
	DelayMS      int64 `json:"delay_ms"`
	LoseAnswers  int   `json:"lose_answers"`
	LoseRequests int   `json:"lose_requests"`
	StaleReads   int   `json:"stale_reads"`
	HostLagMS    int64 `json:"host_lag_ms"`
}

func encodeItem(item storer.Item) wireItem {
	return wireItem{
		Key:     item.Key,
		Value:   item.Value,
		Version: uint64(item.Version),
		LeaseID: string(item.Lease),
	}
}

func encodePage(page storer.Page) wirePage {
	wire := wirePage{Items: []wireItem{}, More: page.More, Revision: uint64(page.Revision)}
	for _, item := range page.Items {
		wire.Items = append(wire.Items, encodeItem(item))
	}
	return wire
}

func encodeLease(lease storer.Lease) wireLease {
	return wireLease{
		LeaseID: string(lease.ID),
		TTLMS:   lease.TTL.Milliseconds(),
		Fencing: lease.FencingToken,
	}
}

func encodeEvents(events storer.Events) wireEvents {
	wire := wireEvents{
		Events:    []wireEvent{},
		Revision:  uint64(events.Revision),
		Compacted: events.Compacted,
	}
	for _, event := range events.Events {
		kind := "put"
		if event.Kind == storer.EventDelete {
			kind = "delete"
		}
		wire.Events = append(wire.Events, wireEvent{Kind: kind, Item: encodeItem(event.Item)})
	}
	return wire
}

func encodeHosts(hosts []storer.Host) wireHosts {
	wire := wireHosts{Hosts: []wireHost{}}
	for _, host := range hosts {
		state := "live"
		if host.State == storer.HostLeaving {
			state = "leaving"
		}
		wire.Hosts = append(wire.Hosts, wireHost{
			Name:       host.Name,
			Address:    host.Address.String(),
			DataCentre: host.DataCentre,
			State:      state,
		})
	}
	return wire
}

func encodeCalls(calls map[Call]int) map[string]int {
	wire := make(map[string]int, len(calls))
	for call, count := range calls {
		wire[string(call)] = count
	}
	return wire
}

func decodeFaults(wire wireFaults) Faults {
	return Faults{
		Outage:       wire.Outage,
		Delay:        time.Duration(wire.DelayMS) * time.Millisecond,
		LoseAnswers:  wire.LoseAnswers,
		LoseRequests: wire.LoseRequests,
		StaleReads:   wire.StaleReads,
		HostLag:      time.Duration(wire.HostLagMS) * time.Millisecond,
	}
}
