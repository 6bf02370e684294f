package hostingemulator

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PromptHeader is the header that lists the parts of a request's prompt.
const PromptHeader = "X-Prompt-Prefix"

// Route is a route of a Configuration. Its requests have the prefix "/NAME/".
type Route struct {
	Name string
	// Kind is "idempotent", "non_idempotent" or "streaming". Streams of the last go to engines and may be resumed.
	Kind    string
	Service string
}

// Configuration is what an operator declares: one account with one key, and routes of one host.
type Configuration struct {
	Version int
	Host    string
	Key     string
	Model   string
	// Timeout is the timeout of all routes.
	Timeout time.Duration
	// MaxBodyBytes is the largest body of a request. Default: defaultMaxBodyBytes.
	MaxBodyBytes int
	Routes       []Route
}

const defaultMaxBodyBytes = 1 << 20

// PutConfiguration writes the configuration to the store.
func (s *Store) PutConfiguration(c Configuration) {
	var routes, services []any
	known := make(map[string]bool)
	for _, route := range c.Routes {
		streaming := route.Kind == "streaming"
		routes = append(routes, map[string]any{
			"name": route.Name, "host": c.Host, "prefix": "/" + route.Name + "/", "kind": route.Kind, "service": route.Service,
			"timeoutMs": c.Timeout.Milliseconds(), "targetLatencyMs": 1000, "targetGapMs": 500, "maxAttempts": 2, "priority": 0, "sticky": streaming, "resumable": streaming,
		})
		if known[route.Service] {
			continue
		}
		known[route.Service] = true
		service := map[string]any{"name": route.Service, "maxConnections": 50}
		if streaming {
			service["engine"] = map[string]any{"slots": 8, "kvCapacity": 100000, "kvTokenBytes": 1000, "linkMbps": 1000, "models": []any{map[string]any{"name": c.Model}}}
		}
		services = append(services, service)
	}
	s.Put("op/config", map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": cmp.Or(c.MaxBodyBytes, defaultMaxBodyBytes), "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "account", "apiKeys": []string{c.Key}, "isolated": false}},
	})
}

// NewRequest returns a caller's request to a daemon, on a route of the configuration. A request to a streaming route describes a prompt.
func (c Configuration) NewRequest(daemon string, route Route, id string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon+"/"+route.Name+"/x", strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	request.Host = c.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+c.Key)
	if route.Kind == "streaming" {
		request.Header.Set("X-Model", c.Model)
		request.Header.Set("X-Token-Count", "300,6")
		request.Header.Set(PromptHeader, "ab:200,cd:100")
	}
	return request, nil
}
