package reserver

import (
	"log/slog"
	"time"
)

// reportInterval is the least time between two lines in the log.
const reportInterval = 10 * time.Second

// Gauge is a figure of a Memory for metrics.
type Gauge struct {
	Name, Description string
	Read              func() int64
}

// Gauges returns the figures of the memory and of the connections to the callers' port. connections returns the number that are open, that made
// room for others and that were closed since there were too many.
func (m *Memory) Gauges(connections func() (open, displaced, refused int64)) []Gauge {
	part := func(choose func(Counts) int64) func() int64 { return func() int64 { return choose(m.Counts()) } }
	connection := func(choose func(open, displaced, refused int64) int64) func() int64 {
		return func() int64 { return choose(connections()) }
	}
	return []Gauge{
		{"rill_request_memory_bytes", "Bytes that open requests and incomplete answers hold.", m.Held},
		{"rill_request_memory_limit_bytes", "Bytes that they may hold together.", m.Limit},
		{"rill_request_memory_waiting", "Requests that wait for the memory of stalled ones.", m.Waiting},
		{"rill_request_memory_full", "Requests refused since there was no memory for them.", part(func(c Counts) int64 { return c.Full })},
		{"rill_request_memory_account", "Requests refused since their account held its part of the memory.", part(func(c Counts) int64 { return c.Account })},
		{"rill_request_memory_stalled", "Requests ended since they had stopped arriving while there was no memory for others.", part(func(c Counts) int64 { return c.Stalled })},
		{"rill_request_memory_heads", "Connections closed since there was no memory for a long head.", part(func(c Counts) int64 { return c.Heads })},
		{"rill_request_memory_streams", "Requests over HTTP/2 refused since there was no memory for them.", part(func(c Counts) int64 { return c.Streams })},
		{"rill_caller_connections", "Open connections of callers.", connection(func(open, _, _ int64) int64 { return open })},
		{"rill_caller_connections_displaced", "Connections of callers without a request that made room for new ones.", connection(func(_, displaced, _ int64) int64 { return displaced })},
		{"rill_caller_connections_refused", "New connections of callers that were closed since there were too many.", connection(func(_, _, refused int64) int64 { return refused })},
	}
}

// Limit returns the number of bytes that requests and answers may hold together.
func (m *Memory) Limit() int64 { return m.bodiesBytes + m.answers.bytes }

// refusals are the figures of one line in the log.
type refusals struct {
	Counts
	displaced, refused int64
}

// Report logs what was refused, until stop is closed: at most one line in reportInterval, and none if nothing was refused.
func (m *Memory) Report(stop <-chan struct{}, logger *slog.Logger, connections func() (open, displaced, refused int64)) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var last refusals
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		open, displaced, refused := connections()
		now := refusals{Counts: m.Counts(), displaced: displaced, refused: refused}
		if now == last {
			continue
		}
		logger.Info("requests or connections refused for lack of room", "in", reportInterval, "full", now.Full-last.Full,
			"account", now.Account-last.Account, "stalled", now.Stalled-last.Stalled, "heads", now.Heads-last.Heads, "streams", now.Streams-last.Streams,
			"connections_displaced", displaced-last.displaced, "connections_refused", refused-last.refused,
			"held_bytes", m.Held(), "limit_bytes", m.Limit(), "connections", open)
		last = now
	}
}
