package assembler

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/delegator"
	"github.com/rosemaryrill/rosemaryrill/drainer"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/recorder"
	"github.com/rosemaryrill/rosemaryrill/repeater"
	"github.com/rosemaryrill/rosemaryrill/reserver"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// maxSmallMessageBytes limits the messages of other daemons that carry no request.
const maxSmallMessageBytes = 64 << 10

// sharedStore lets the daemons of a data centre read the store through each other.
type sharedStore struct {
	self   repeater.Daemon
	reader *repeater.Reader
	client *repeater.Client
	copies map[string]*repeater.Copy
	server *http.Server
	group  conc.WaitGroup
	logger *slog.Logger
	alive  func(broadcaster.Peer) bool

	mu sync.Mutex
	// local are the other daemons of the data centre.
	local []broadcaster.Peer
}

func (d *Daemon) newSharedStore() *sharedStore {
	s := &sharedStore{
		self:   repeater.Daemon{Name: d.settings.Name, LinkMegabits: d.settings.Hosted.LinkMegabits},
		client: repeater.NewClient(), copies: make(map[string]*repeater.Copy),
		logger: d.loggerFor("repeater"), alive: d.broadcaster.Alive,
	}
	s.reader = repeater.NewReader(repeater.ReaderSettings{
		Store: d.store, Peers: s.client, Sources: s.sources, Serves: s.active, Logger: s.logger,
		Waits: map[string]time.Duration{
			platform.DeclarationsPrefix: sharedDeclarationsWait, platform.TargetsPrefix: sharedWait, daemonsPrefix: sharedWait,
		},
	})
	return s
}

// copied returns the settings of a follower whose items are also kept for other daemons.
func (s *sharedStore) copied(settings follower.Settings) follower.Settings {
	copySettings := repeater.CopySettings{Sink: settings.Sink}
	if settings.Prefix == platform.TargetsPrefix {
		copySettings.Equivalent = sameTarget
	}
	if settings.Prefix == platform.DeclarationsPrefix {
		copySettings.Supersedes = supersedes
	}
	items := repeater.NewCopy(copySettings)
	s.copies[settings.Prefix] = items
	settings.Sink, settings.OnContact = items, items.Confirm
	return settings
}

// sameTarget reports whether two entries describe a target alike. A target writes its entry with each heartbeat.
func sameTarget(before, after storer.Item) bool {
	a, errBefore := platform.DecodeTarget(before)
	b, errAfter := platform.DecodeTarget(after)
	return errBefore == nil && errAfter == nil && reflect.DeepEqual(a, b)
}

// listen serves the copies and the origins of streams to the other daemons, and takes the requests that they pass on.
func (s *sharedStore) listen(address netip.AddrPort, origins *recorder.Origins, delegated *delegator.Handler, memory *reserver.Memory, connections drainer.Settings) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	handleSmall := func(path string, handler http.Handler) {
		mux.Handle(path, memory.Handler(http.MaxBytesHandler(handler, maxSmallMessageBytes), delegator.MemoryAccount))
	}
	handleSmall(repeater.NewHandler(s.copies))
	handleSmall(recorder.NewHandler(origins))
	mux.Handle(delegated.HTTP())
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	listener = drainer.New(s.server, connections).Track(listener)
	s.group.Go(func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("HTTP server failed", "address", address, "error", err)
		}
	})
	return nil
}

// setPeers sets the other daemons; those of other data centres are left out.
func (s *sharedStore) setPeers(dataCentre string, peers []broadcaster.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local = nil
	for _, peer := range peers {
		if peer.DataCentre == dataCentre {
			s.local = append(s.local, peer)
		}
	}
}

func (s *sharedStore) localPeers() []broadcaster.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local
}

// active reports whether the data centre has so many daemons that they read through each other.
func (s *sharedStore) active() bool { return len(s.localPeers())+1 >= repeater.MinDaemons }

// sources returns the daemons through which this one may read the store, best first.
func (s *sharedStore) sources() []netip.AddrPort {
	byName := make(map[string]broadcaster.Peer)
	var daemons []repeater.Daemon
	for _, peer := range s.localPeers() {
		byName[peer.Name] = peer
		daemons = append(daemons, repeater.Daemon{Name: peer.Name, Address: peer.Address, LinkMegabits: peer.LinkMegabits})
	}
	return repeater.Sources(s.self, daemons, func(d repeater.Daemon) bool { return s.alive(byName[d.Name]) })
}

// close ends the calls from and to other daemons.
func (s *sharedStore) close() error {
	if s == nil {
		return nil
	}
	err := errors.Join(s.reader.Close(), s.client.Close())
	if s.server != nil {
		err = errors.Join(err, s.server.Close())
	}
	s.group.Wait()
	return err
}
