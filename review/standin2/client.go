package main

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	host   = "app.example"
	apiKey = "key-1"
	model  = "m0"
)

// call is one client attempt.
type call struct {
	id, method, path, body string
	// prompt is the value of X-Prompt-Prefix, and tokens that of X-Token-Count; empty for plain services.
	prompt, tokens string
	lastEventID    string
	resumes        string
	// key is the client's API key; empty for that of the first configuration.
	key      string
	deadline time.Duration
}

// event is one event of a stream.
type event struct {
	id       int
	software string
	at       time.Time
}

// answer is what a client attempt got.
type answer struct {
	status  int
	sealed  bool
	events  []event
	body    string
	retry   string
	err     error
	whole   bool
	endedAt time.Time
}

// send sends a client attempt on a new channel and reads the answer to its end.
func send(ctx context.Context, daemon netip.AddrPort, c call) (a answer) {
	defer func() { a.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+daemon.String()+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": c.id, "X-Deadline-Ms": strconv.FormatInt(c.deadline.Milliseconds(), 10), "Authorization": "Token " + cmp.Or(c.key, apiKey),
		"X-Prompt-Prefix": c.prompt, "X-Token-Count": c.tokens, "Last-Event-Id": c.lastEventID, "Resumes": c.resumes,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if c.prompt != "" {
		request.Header.Set("X-Model", model)
	}
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.sealed, a.retry = response.StatusCode, response.Header.Get("X-Response-Seal") != "", response.Header.Get("Retry-After")
	if response.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(response.Body)
		a.body, a.err, a.whole = string(body), err, err == nil
		return a
	}
	reader, current := bufio.NewReader(response.Body), event{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.whole = err == io.EOF
			if !a.whole {
				a.err = err
			}
			return a
		}
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "id: "):
			current.id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			software, _, _ := strings.Cut(strings.TrimPrefix(line, "data: software="), " ")
			current.software = software
		case line == "" && current.id > 0:
			current.at = time.Now()
			a.events = append(a.events, current)
			current = event{}
		}
	}
}

// tenant is a tenant of a configuration.
type tenant struct {
	name string
	keys []string
}

// putConfiguration writes the first configuration, with one tenant.
func (w *world) putConfiguration(version int) {
	w.putTenants(version, tenant{"tenant-1", []string{apiKey}})
}

// putTenants writes a configuration as the operator does: a streaming route that may be resumed, a plain one, and tenants.
func (w *world) putTenants(version int, tenants ...tenant) {
	listed := []any{}
	for _, t := range tenants {
		listed = append(listed, map[string]any{"name": t.name, "apiKeys": t.keys, "priority": 1, "isolated": false})
	}
	w.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-query", "host": host, "prefix": "/query/", "kind": "streaming", "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 0,
				"service": "engines", "maxAttempts": 2, "anonymous": false, "sticky": true, "resumable": true, "targetGapMs": 500,
			},
			map[string]any{
				"name": "r-order", "host": host, "prefix": "/order/", "kind": "non_idempotent", "timeoutMs": 4000, "targetLatencyMs": 100, "priority": 1,
				"service": "orders", "maxAttempts": 1, "anonymous": false, "sticky": false, "resumable": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "engines", "healthPath": "/healthz", "maxConnections": 210, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 24, "kvCapacity": 130072, "kvTokenBytes": 18432, "linkMbps": 370000.0, "maxInflight": 12,
					"models": []any{map[string]any{"name": model}},
				},
			},
			map[string]any{"name": "orders", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": listed,
	})
	w.note("configuration %d written, tenants %v", version, tenants)
}
