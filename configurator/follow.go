package configurator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// catchUpInterval is the time between two queries of the peers by a starting daemon.
const catchUpInterval = 100 * time.Millisecond

// platformView is the result of the last reads from the platform.
type platformView struct {
	// behindSince is when reads of the platform began to return an incomplete log, as recordBehind
	// defines it; zero after a complete read.
	behindSince time.Time
	// version is the version of the platform's store up to which the log is known.
	version storer.Version
	// lower is the last version below version that the platform showed.
	lower storer.Version
}

// syncLoop keeps the configuration synchronized with the platform until the context ends.
func (c *Configurator) syncLoop(ctx context.Context) {
	c.catchUpAtStart(ctx)
	retry := c.newBackoff()
	for ctx.Err() == nil {
		_, err := c.readLog(ctx)
		if err == nil {
			retry = c.newBackoff()
			err = c.watchOrWait(ctx)
		}
		if err == nil {
			continue
		}
		if !c.settings.WatchRole.Watches() && !c.isolated(ctx) {
			c.waitForPoll(ctx)
			continue
		}
		retry.pause(ctx)
	}
}

// watchOrWait watches the platform if this daemon is a watcher. Other daemons receive changes from
// their peers and only wait for the next poll.
func (c *Configurator) watchOrWait(ctx context.Context) error {
	if c.settings.WatchRole.Watches() {
		return c.watch(ctx)
	}
	c.waitForPoll(ctx)
	return nil
}

// catchUpAtStart catches up with the peers and the platform until the daemon is ready. To limit the
// load on the platform when many daemons start together, the peers are queried first, and the
// platform is read only after a random delay of up to StartSpread. The read waits further while
// reachable peers have newer revisions, until PeerCatchUpTimeout after the start.
func (c *Configurator) catchUpAtStart(ctx context.Context) {
	started := time.Now()
	nextRead := started.Add(jitter(c.settings.StartSpread))
	retry := c.newBackoff()
	platformRead := false
	for ctx.Err() == nil {
		peers := c.queryPeers(ctx)
		waitForPeers := time.Since(started) < c.settings.PeerCatchUpTimeout
		if !platformRead && !time.Now().Before(nextRead) && !(waitForPeers && c.behindPeers(peers)) {
			_, err := c.readLog(ctx)
			platformRead = err == nil
			nextRead = time.Now().Add(retry.next())
		}
		if c.caughtUp(peers, platformRead, waitForPeers) {
			c.ready.Store(true)
			c.settings.Log.Info("configurator: ready", "revision", uint64(c.Digest().Revision))
			return
		}
		c.sleep(ctx, catchUpInterval)
	}
}

// peerView is the result of a query of the peers.
type peerView struct {
	highest   registrar.Revision
	reachable int
	err       error
}

func (c *Configurator) queryPeers(ctx context.Context) peerView {
	highest, reachable, err := c.settings.Peers.HighestRevision(ctx)
	return peerView{highest: highest, reachable: reachable, err: err}
}

// exceed reports whether a reachable peer has a later revision than the given one.
func (p peerView) exceed(revision registrar.Revision) bool {
	return p.err == nil && p.reachable > 0 && revision < p.highest
}

func (c *Configurator) behindPeers(peers peerView) bool {
	return peers.exceed(c.Digest().Revision)
}

// caughtUp reports whether the daemon has applied the highest revision that the peers and the
// platform return. If the platform cannot be read, it requires a reachable peer and a non-empty
// configuration.
func (c *Configurator) caughtUp(peers peerView, platformRead, waitForPeers bool) bool {
	if c.behindPeers(peers) || (waitForPeers && peers.err != nil) {
		return false
	}
	if platformRead {
		return true
	}
	return !waitForPeers && peers.err == nil && peers.reachable > 0 && c.Digest().Revision > 0
}

// isolated reports whether no peer can be reached.
func (c *Configurator) isolated(ctx context.Context) bool {
	peers := c.queryPeers(ctx)
	return peers.err != nil || peers.reachable == 0
}

// waitForPoll waits until the next poll of a daemon that does not watch. It returns early when the
// daemon becomes a watcher or can reach no peer.
func (c *Configurator) waitForPoll(ctx context.Context) {
	until := time.Now().Add(c.settings.PollEvery/2 + jitter(c.settings.PollEvery/2))
	for ctx.Err() == nil && time.Now().Before(until) {
		c.sleep(ctx, c.settings.IsolatedPollInterval/2+jitter(c.settings.IsolatedPollInterval/2))
		if c.settings.WatchRole.Watches() || c.isolated(ctx) {
			return
		}
	}
}

// watch applies new entries as watch events arrive. It returns nil when the log should be read
// again, at the latest after PollEvery: a restored platform may have lost entries without any watch
// event.
func (c *Configurator) watch(ctx context.Context) error {
	until := time.Now().Add(c.settings.PollEvery/2 + jitter(c.settings.PollEvery/2))
	after := c.knownVersion()
	for ctx.Err() == nil && c.settings.WatchRole.Watches() {
		requested := time.Now()
		remaining := until.Sub(requested)
		if remaining <= 0 {
			return nil
		}
		events, err := c.settings.Store.Watch(ctx, logPrefix, after, min(remaining, c.settings.WatchWait))
		if err != nil {
			return err
		}
		c.observeStoreVersion(events.Revision)
		if events.Compacted || events.Revision < after {
			return nil
		}
		if err := c.applyEvents(events); err != nil {
			return err
		}
		after = events.Revision
		c.sleep(ctx, c.settings.WatchGap-time.Since(requested))
	}
	return nil
}

func (c *Configurator) knownVersion() storer.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.platform.version
}

// observeStoreVersion logs and counts that the platform showed a version of its store that is lower
// than one that it has shown before, once for each such version.
func (c *Configurator) observeStoreVersion(version storer.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version >= c.platform.version || version == c.platform.lower {
		return
	}
	c.platform.lower = version
	c.counters.storeWentBack.Add(1)
	c.settings.Log.Warn("configurator: the platform's store went back, or a read was stale",
		"version", uint64(version), "known", uint64(c.platform.version), "revision", uint64(c.history.revision))
}

// applyEvents applies the entries of put events. It ignores deletions, which come from trimming.
func (c *Configurator) applyEvents(events storer.Events) error {
	var items []storer.Item
	for _, event := range events.Events {
		if event.Kind == storer.EventPut {
			items = append(items, event.Item)
		}
	}
	entries, err := c.decodeItems(items)
	if err != nil {
		return err
	}
	return c.applyEntries(entries)
}

// decodeItems decodes entries and verifies that their revisions match their keys.
func (c *Configurator) decodeItems(items []storer.Item) (entries []entry, err error) {
	for _, item := range items {
		e, err := decodeEntry(item.Value)
		if err == nil && logKey(e.revision) != item.Key {
			err = errors.New("its revision is not that of its key")
		}
		if err != nil {
			return nil, c.reject(&MalformedError{Name: item.Key, Cause: err})
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// recordUpToDate records that a read returned the complete log up to the given version of the
// platform's store, and clears the alarms about missing entries.
func (c *Configurator) recordUpToDate(version storer.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platform.behindSince = time.Time{}
	c.platform.version = version
	c.clear(AlarmBehind, AlarmGap)
}

// recordBehind records that the platform returned an incomplete log: it ends before the current
// revision (BehindError) or entries are missing in it (GapError). Since a single read may be stale,
// the alarm is raised, and the maintenance loop woken, only after BehindAfter. recordBehind returns the
// given error.
func (c *Configurator) recordBehind(err error) error {
	c.counters.behind.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.platform.behindSince.IsZero() {
		c.platform.behindSince = time.Now()
	}
	if time.Since(c.platform.behindSince) >= c.settings.BehindAfter {
		c.raiseAlarm(err)
		select {
		case c.repairDue <- struct{}{}:
		default:
		}
	}
	return err
}

// backoff is an exponential backoff with full jitter.
type backoff struct {
	c     *Configurator
	limit time.Duration
}

func (c *Configurator) newBackoff() *backoff {
	return &backoff{c: c, limit: c.settings.RetryBase}
}

func (b *backoff) next() time.Duration {
	pause := jitter(b.limit)
	b.limit = min(2*b.limit, b.c.settings.RetryCap)
	return pause
}

func (b *backoff) pause(ctx context.Context) {
	b.c.sleep(ctx, b.next())
}

// sleep waits for the duration or until the context ends.
func (c *Configurator) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between zero and limit.
func jitter(limit time.Duration) time.Duration {
	return rand.N(limit + 1)
}
