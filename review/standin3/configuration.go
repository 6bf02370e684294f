package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// route is a route of a configuration. Its requests have the prefix "/NAME/".
type route struct{ Name, Kind, Service string }

// configuration is what the operator writes: one tenant with one key, and routes of one host.
type configuration struct {
	Version int
	Host    string
	Key     string
	Model   string
	Timeout time.Duration
	Routes  []route
}

// put writes the configuration to the store.
func (c configuration) put(s *leaseStore) {
	var routes, services []any
	for _, r := range c.Routes {
		streaming := r.Kind == "streaming"
		routes = append(routes, map[string]any{
			"name": r.Name, "host": c.Host, "prefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service, "timeoutMs": c.Timeout.Milliseconds(),
			"targetLatencyMs": 800, "targetGapMs": 500, "maxAttempts": 2, "priority": 0, "sticky": streaming, "resumable": streaming,
		})
		service := map[string]any{"name": r.Service, "maxConnections": 200, "healthPath": "/healthz"}
		if streaming {
			service["engine"] = map[string]any{"slots": 24, "kvCapacity": 130000, "kvTokenBytes": 18432, "linkMbps": 1000, "models": []any{map[string]any{"name": c.Model}}}
		}
		services = append(services, service)
	}
	s.put("op/config", map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "apiKeys": []string{c.Key}, "isolated": false}},
	})
}

// request returns a client's request to a daemon. One to a streaming route describes a prompt.
func (c configuration) request(daemon string, r route, body, id string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon+"/"+r.Name+"/x", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = c.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+c.Key)
	if r.Kind == "streaming" {
		request.Header.Set("X-Model", c.Model)
		request.Header.Set("X-Token-Count", "300,25")
		session, _, _ := strings.Cut(id, "-") // All tries have the same parts.
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200,%x:100", "a"+session, "b"+session))
	}
	return request, nil
}
