package storer

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const idleConnectionTimeout = 90 * time.Second

func newTransport(settings Settings) *http.Transport {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	return &http.Transport{
		DialContext:         settings.ByteCounter.Wrap(dialer.DialContext),
		MaxConnsPerHost:     settings.MaxConnections,
		MaxIdleConnsPerHost: DefaultIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
}

// wrapTransport applies Settings.Wrap to the transport.
func wrapTransport(settings Settings, transport http.RoundTripper) http.RoundTripper {
	if settings.Wrap == nil {
		return transport
	}
	return settings.Wrap(transport)
}

// refuseRedirect makes the HTTP client return a redirect as the response instead of following
// it, since a write must not be sent twice.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// escapePath escapes a key for use in a URL path, except its slashes.
func escapePath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// decodedPath returns the unescaped path, or the path itself if it cannot be unescaped.
func decodedPath(path string) string {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return path
	}
	return decoded
}
