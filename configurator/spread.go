package configurator

import (
	"errors"
	"fmt"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// encodedState caches the encoded state of a digest for the next peer that requests it.
type encodedState struct {
	digest Digest
	data   []byte
}

// Entries returns the entries after a revision for a peer: as many as fit into maxBytes, but at
// least one. It returns none if the peer is up to date, and none if it is so far behind that it
// needs EncodeState.
func (c *Configurator) Entries(after registrar.Revision, maxBytes int) []Entry {
	c.mu.Lock()
	retained, ok := c.history.entriesAfter(after)
	c.mu.Unlock()
	if !ok {
		return nil
	}
	var entries []Entry
	for _, e := range retained {
		maxBytes -= len(e.raw)
		if maxBytes < 0 && len(entries) > 0 {
			break
		}
		entries = append(entries, e.raw)
	}
	return entries
}

// Offer applies the entries from a peer that continue the log, all at once, and skips those that
// are already known. It returns a GapError if entries before them are missing, a ForkError if they
// contradict the current history, and a MalformedError if they cannot be decoded.
func (c *Configurator) Offer(entries []Entry) (err error) {
	defer Error.WrapP(&err)
	decoded := make([]entry, 0, len(entries))
	for i, raw := range entries {
		e, err := decodeEntry(raw)
		if err != nil {
			return c.reject(&MalformedError{Name: fmt.Sprintf("offered entry %d", i), Cause: err})
		}
		decoded = append(decoded, e)
	}
	return c.applyEntries(decoded)
}

// EncodeState returns the complete current state for a peer that is too far behind for Entries.
func (c *Configurator) EncodeState() (data []byte, err error) {
	defer Error.WrapP(&err)
	encoded, err := c.encodeCurrent()
	return encoded.data, err
}

// encodeCurrent encodes the current state, or returns the cached encoding of the same digest.
// Callers are serialized, so that many peers that start together cause a single encoding.
func (c *Configurator) encodeCurrent() (encoded encodedState, err error) {
	c.encodeMutex.Lock()
	defer c.encodeMutex.Unlock()
	c.mu.Lock()
	s := c.history.state()
	encoded = c.encoded
	c.mu.Unlock()
	if encoded.digest == s.digest && encoded.data != nil {
		return encoded, nil
	}
	data, err := encodeState(s)
	if err != nil {
		return encodedState{}, err
	}
	encoded = encodedState{digest: s.digest, data: data}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encoded = encoded
	return encoded, nil
}

// OfferState applies the complete state of a peer if it is newer. It returns the same errors as
// Offer.
func (c *Configurator) OfferState(data []byte) (err error) {
	defer Error.WrapP(&err)
	s, err := decodeState(data)
	if err != nil {
		return c.reject(&MalformedError{Name: "offered state", Cause: err})
	}
	return c.applyState(s)
}

// reject raises the alarm for the error and returns the error.
func (c *Configurator) reject(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raiseAlarm(err)
	return err
}

// applyEntries applies the entries that continue the log, all at once. A gap raises no alarm here,
// as the sender may offer the preceding entries next.
func (c *Configurator) applyEntries(entries []entry) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, err := c.history.extend(entries)
	if installErr := c.install(next); installErr != nil {
		return installErr
	}
	var gap *GapError
	if !errors.As(err, &gap) {
		c.raiseAlarm(err)
	}
	return err
}

// applyState replaces the current configuration by a complete state if that is newer.
func (c *Configurator) applyState(s state) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, err := c.history.withState(s)
	if err != nil {
		c.raiseAlarm(err)
		return err
	}
	return c.install(next)
}

// applyHistory replaces the current history by one that was read separately if that is newer.
func (c *Configurator) applyHistory(next history) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.history.checkConsistent(next); err != nil {
		c.raiseAlarm(err)
		return err
	}
	return c.install(next)
}

// install makes a history the current one if it is newer. The caller holds mu.
func (c *Configurator) install(next history) error {
	if next.revision <= c.history.revision {
		return nil
	}
	next = next.applyPending()
	snapshot, err := registrar.NewSnapshot(next.revision, next.objects)
	if err != nil {
		malformed := &MalformedError{Name: logKey(next.revision), Cause: err}
		c.raiseAlarm(malformed)
		return malformed
	}
	c.counters.applied.Add(int64(next.revision - c.history.revision))
	c.history = next
	c.publish(snapshot)
	return nil
}
