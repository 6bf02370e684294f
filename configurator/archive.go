package configurator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// manifest describes the newest complete snapshot. It is written after all parts of the snapshot.
type manifest struct {
	digest   Digest
	parts    int
	checksum Hash
	version  storer.Version
}

type wireManifest struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Parts    int    `json:"parts"`
	SHA256   string `json:"sha256"`
}

// readManifest returns the manifest, or the zero manifest when there is no snapshot yet.
func (c *Configurator) readManifest(ctx context.Context) (m manifest, err error) {
	item, err := c.settings.Store.Get(ctx, manifestKey)
	var notFound *storer.NotFoundError
	if errors.As(err, &notFound) {
		return manifest{}, nil
	}
	if err != nil {
		return manifest{}, err
	}
	m, err = decodeManifest(item)
	if err != nil {
		return manifest{}, c.reject(&MalformedError{Name: manifestKey, Cause: err})
	}
	return m, nil
}

func decodeManifest(item storer.Item) (m manifest, err error) {
	var wire wireManifest
	if err := json.Unmarshal(item.Value, &wire); err != nil {
		return manifest{}, err
	}
	m = manifest{parts: wire.Parts, version: item.Version}
	m.digest.Revision = registrar.Revision(wire.Revision)
	if m.digest.Hash, err = decodeHash(wire.Hash); err != nil {
		return manifest{}, err
	}
	m.checksum, err = decodeHash(wire.SHA256)
	return m, err
}

func encodeManifest(m manifest) ([]byte, error) {
	return json.Marshal(wireManifest{
		Revision: uint64(m.digest.Revision),
		Hash:     hex.EncodeToString(m.digest.Hash[:]),
		Parts:    m.parts,
		SHA256:   hex.EncodeToString(m.checksum[:]),
	})
}

// readSnapshot reads the parts of the snapshot and verifies them against the manifest.
func (c *Configurator) readSnapshot(ctx context.Context, m manifest) (s state, err error) {
	var data []byte
	for part := range m.parts {
		item, err := c.settings.Store.Get(ctx, partKey(m.digest.Revision, part))
		if err != nil {
			return state{}, err
		}
		data = append(data, item.Value...)
	}
	name := snapshotPrefix + fmt.Sprint(m.digest.Revision)
	if sha256.Sum256(data) != m.checksum {
		return state{}, c.reject(&MalformedError{Name: name, Cause: errors.New("its checksum is not that of the manifest")})
	}
	s, err = decodeState(data)
	if err == nil && s.digest != m.digest {
		err = errors.New("its revision is not that of the manifest")
	}
	if err != nil {
		return state{}, c.reject(&MalformedError{Name: name, Cause: err})
	}
	return s, nil
}

// writeSnapshot writes the current configuration as a snapshot in parts and then points the
// manifest to it. Parts are created and never overwritten: if another daemon has written different
// bytes for the same revision, the write fails, and a later maintenance round writes a snapshot of
// a later revision.
func (c *Configurator) writeSnapshot(ctx context.Context, l *leadership, previous manifest) error {
	encoded, err := c.encodeCurrent()
	if err != nil {
		return err
	}
	if encoded.digest.Revision <= previous.digest.Revision {
		return nil
	}
	m := manifest{digest: encoded.digest, checksum: sha256.Sum256(encoded.data)}
	for part := range slices.Chunk(encoded.data, c.settings.PartBytes) {
		if err := c.writePart(ctx, l, partKey(m.digest.Revision, m.parts), part); err != nil {
			return err
		}
		m.parts++
	}
	if _, err := c.readSnapshot(ctx, m); err != nil {
		return err
	}
	return c.writeManifest(ctx, l, m, previous)
}

// writePart creates a part of a snapshot. It succeeds if the part already exists with the same
// bytes.
func (c *Configurator) writePart(ctx context.Context, l *leadership, key string, part []byte) error {
	if err := l.checkLease(); err != nil {
		return err
	}
	_, err := c.settings.Store.Create(ctx, key, part, storer.NoLease)
	var conflict *storer.ConflictError
	var unknown *storer.UnknownOutcomeError
	if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
		return err
	}
	item, err := c.settings.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(item.Value, part) {
		return fmt.Errorf("%q already exists with different content", key)
	}
	return nil
}

// writeManifest replaces the previous manifest by compare-and-swap, so that a newer manifest of
// another daemon is not overwritten.
func (c *Configurator) writeManifest(ctx context.Context, l *leadership, m, previous manifest) error {
	value, err := encodeManifest(m)
	if err != nil {
		return err
	}
	if err := l.checkLease(); err != nil {
		return err
	}
	if previous.version == 0 {
		_, err = c.settings.Store.Create(ctx, manifestKey, value, storer.NoLease)
	} else {
		_, err = c.settings.Store.Swap(ctx, manifestKey, value, previous.version, storer.NoLease)
	}
	if err != nil {
		return err
	}
	c.counters.snapshots.Add(1)
	c.settings.Log.Info("configurator: snapshot written", "revision", uint64(m.digest.Revision), "parts", m.parts)
	return nil
}
