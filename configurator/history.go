package configurator

import (
	"slices"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// maxCheckpoints bounds the checkpoints that are kept.
const maxCheckpoints = 256

// checkpoint is the hash of one revision. The checkpoint of every 64th revision is kept after its
// entry has left the window, so that a snapshot can be compared with the current history.
type checkpoint struct {
	revision registrar.Revision
	hash     Hash
}

// history is the current configuration with its most recent entries, the window. It is immutable:
// its methods return a modified copy.
type history struct {
	revision registrar.Revision
	hash     Hash
	objects  registrar.Objects
	// pending are changes that are not yet merged into objects; applyPending merges all at once.
	pending []registrar.Change
	// entries is the window, oldest first, and bytes its encoded size.
	entries     []entry
	bytes       int
	checkpoints []checkpoint
	maxEntries  int
	maxBytes    int
}

func newHistory(settings Settings) history {
	return history{maxEntries: settings.WindowEntries, maxBytes: settings.WindowBytes}
}

// clone returns a history whose slices are copied when they grow, so that it can be extended
// independently of the original.
func (h history) clone() history {
	h.entries = slices.Clip(h.entries)
	h.checkpoints = slices.Clip(h.checkpoints)
	return h
}

func (h history) digest() Digest {
	return Digest{Revision: h.revision, Hash: h.hash}
}

// oldestBase is the lowest revision whose successors are all in the window.
func (h history) oldestBase() registrar.Revision {
	return h.revision - registrar.Revision(len(h.entries))
}

// entriesAfter returns the entries after a revision; ok is false when some have left the window.
func (h history) entriesAfter(revision registrar.Revision) (entries []entry, ok bool) {
	if revision < h.oldestBase() {
		return nil, false
	}
	skip := min(revision-h.oldestBase(), registrar.Revision(len(h.entries)))
	return h.entries[skip:], true
}

// hashAt returns the hash of a revision if it is the current one, in the window or a checkpoint.
func (h history) hashAt(revision registrar.Revision) (hash Hash, ok bool) {
	switch {
	case revision == 0:
		return Hash{}, true
	case revision == h.revision:
		return h.hash, true
	case revision > h.revision:
		return Hash{}, false
	case revision > h.oldestBase():
		return h.entries[revision-h.oldestBase()-1].hash, true
	}
	at, found := slices.BinarySearchFunc(h.checkpoints, revision, compareCheckpoint)
	if !found {
		return Hash{}, false
	}
	return h.checkpoints[at].hash, true
}

func compareCheckpoint(c checkpoint, revision registrar.Revision) int {
	return int(int64(c.revision) - int64(revision))
}

// extend appends the entries that continue the log and skips those that are already known. It stops
// at the first entry that leaves a gap (GapError) or contradicts the history (ForkError); the
// entries before it are kept.
func (h history) extend(entries []entry) (next history, err error) {
	next = h
	for _, e := range entries {
		switch {
		case e.revision <= next.revision:
			if known, ok := next.hashAt(e.revision); ok && known != e.hash {
				return next, &ForkError{Revision: e.revision, Known: known, Received: e.hash}
			}
		case e.revision > next.revision+1:
			return next, &GapError{Current: next.revision, Received: e.revision}
		case e.previous != next.hash:
			return next, &ForkError{Revision: next.revision, Known: next.hash, Received: e.previous}
		default:
			next = next.append(e)
		}
	}
	return next, nil
}

// applyPending returns the history with its pending changes merged into objects.
func (h history) applyPending() history {
	if len(h.pending) > 0 {
		h.objects = h.objects.Apply(registrar.MergeChanges(h.pending...))
		h.pending = nil
	}
	return h
}

// checkConsistent returns a ForkError if the two histories have different hashes at the lower of
// their two revisions.
func (h history) checkConsistent(other history) error {
	common := min(h.revision, other.revision)
	hash, ok := h.hashAt(common)
	otherHash, otherOK := other.hashAt(common)
	if ok && otherOK && hash != otherHash {
		return &ForkError{Revision: common, Known: hash, Received: otherHash}
	}
	return nil
}

// append returns the history extended by the entry of the next revision.
func (h history) append(e entry) history {
	h.pending = append(h.pending, e.change)
	h.revision = e.revision
	h.hash = e.hash
	h.entries = append(h.entries, e)
	h.bytes += len(e.raw)
	if e.revision%checkpointInterval == 0 {
		h.checkpoints = append(h.checkpoints, checkpoint{revision: e.revision, hash: e.hash})
		h.checkpoints = h.checkpoints[max(0, len(h.checkpoints)-maxCheckpoints):]
	}
	return h.trimWindow()
}

// trimWindow drops the oldest entries until the window is within its bounds. The newest entry
// always stays.
func (h history) trimWindow() history {
	drop := 0
	for len(h.entries)-drop > 1 && (len(h.entries)-drop > h.maxEntries || h.bytes > h.maxBytes) {
		h.bytes -= len(h.entries[drop].raw)
		drop++
	}
	h.entries = h.entries[drop:]
	return h
}

// withState returns the history of a complete state if that is newer, and the history itself
// otherwise. It returns a ForkError if a checkpoint of the state contradicts the history.
func (h history) withState(s state) (next history, err error) {
	if s.digest.Revision <= h.revision {
		return h, nil
	}
	for _, c := range s.checkpoints {
		if known, ok := h.hashAt(c.revision); ok && known != c.hash {
			return h, &ForkError{Revision: c.revision, Known: known, Received: c.hash}
		}
	}
	next = history{
		revision:    s.digest.Revision,
		hash:        s.digest.Hash,
		objects:     s.objects,
		entries:     s.tip,
		checkpoints: s.intervalCheckpoints(),
		maxEntries:  h.maxEntries,
		maxBytes:    h.maxBytes,
	}
	for _, e := range s.tip {
		next.bytes += len(e.raw)
	}
	return next, nil
}

// state returns the complete state with the hashes of the last 64 entries and the older
// checkpoints.
func (h history) state() state {
	s := state{digest: h.digest(), objects: h.objects, checkpoints: slices.Clone(h.checkpoints)}
	s.tip = h.entries[max(0, len(h.entries)-1):]
	recent := h.entries[max(0, len(h.entries)-checkpointInterval):]
	for _, e := range recent {
		if e.revision%checkpointInterval != 0 {
			s.checkpoints = append(s.checkpoints, checkpoint{revision: e.revision, hash: e.hash})
		}
	}
	slices.SortFunc(s.checkpoints, func(a, b checkpoint) int { return compareCheckpoint(a, b.revision) })
	return s
}
