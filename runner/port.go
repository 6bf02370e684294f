package runner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

// errStopping is the cause with which requests on the ports for peers and operators are cancelled that are open when the
// daemon has to close them.
var errStopping = errors.New("the daemon is stopping")

// internalPort serves a port that is not open to callers.
type internalPort struct {
	server  *http.Server
	drainer *drainer.Drainer
}

// newInternalPort returns a port whose messages take memory on an account of their own.
func (d *Daemon) newInternalPort(handler http.Handler, account string, maxConnections int) internalPort {
	log := d.observer.Log("runner")
	server := &http.Server{
		Handler:           d.memory.Handler(handler, account),
		MaxHeaderBytes:    d.settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: d.settings.Limits.HeaderTimeout,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	settings := drainer.Settings{
		AbortCause: errStopping, Logger: log, MaxConnections: maxConnections,
		EndStalled: func() bool { return d.memory.EvictStalledOf(account) }, // Others hold no connection of this port.
	}
	return internalPort{server: server, drainer: drainer.New(server, settings)}
}

func (p internalPort) serve(listener net.Listener, encryption portTLS) error {
	return p.server.Serve(encryption.wrap(p.drainer.Track(listener)))
}

// close answers the requests that have arrived, for at most the timeout, and closes the port.
func (p internalPort) close(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.drainer.Drain(ctx)
	return p.drainer.Close()
}
