package dialer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// PeerSettings are the parameters of a client for calls to other daemons.
type PeerSettings struct {
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// MaxIdle is the number of idle connections that are kept to each daemon, for at most IdleTimeout.
	MaxIdle     int
	IdleTimeout time.Duration
}

// UnconnectedError is returned if no connection could be opened, so that nothing was sent.
type UnconnectedError struct {
	Address string
	Cause   error
}

// Error names the address.
func (e *UnconnectedError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconnectedError) Unwrap() error { return e.Cause }

// NewPeerClient returns a client for calls to other daemons. An error that contains an UnconnectedError means that nothing was sent.
func NewPeerClient(settings PeerSettings) *http.Client {
	opener := &net.Dialer{Timeout: settings.DialTimeout, KeepAlive: -1}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := opener.DialContext(ctx, network, address)
		if err != nil {
			return nil, &UnconnectedError{Address: address, Cause: err}
		}
		return conn, nil
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: settings.MaxIdle, IdleConnTimeout: settings.IdleTimeout, DisableCompression: true,
	}}
}
