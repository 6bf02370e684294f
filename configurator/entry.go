package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	logPrefix          = "config/log/"
	snapshotPrefix     = "config/snapshot/"
	manifestKey        = "config/snapshot_latest"
	revisionDigits     = 12
	partDigits         = 4
	checkpointInterval = 64
)

// Hash is the SHA-256 of an encoded entry. The zero Hash stands for the missing predecessor of the
// first entry.
type Hash [sha256.Size]byte

// String returns a hexadecimal prefix of the hash for logs and messages.
func (h Hash) String() string {
	return hex.EncodeToString(h[:6])
}

// Entry is an encoded entry of the log, byte for byte as it is stored on the platform.
type Entry []byte

// entry is a decoded entry.
type entry struct {
	raw        Entry
	hash       Hash
	revision   registrar.Revision
	previous   Hash
	nonce      string
	daemon     string
	committed  time.Time
	change     registrar.Change
	references []registrar.Reference
}

// wireEntry is the JSON encoding of an entry.
type wireEntry struct {
	Revision        uint64          `json:"revision"`
	Previous        string          `json:"previous"`
	Nonce           string          `json:"nonce"`
	Daemon          string          `json:"daemon"`
	CommittedUnixMS int64           `json:"committed_unix_ms"`
	Change          json.RawMessage `json:"change"`
}

// newEntry encodes the change as the successor of the given digest.
func newEntry(after Digest, nonce, daemon string, change registrar.Change) (e entry, err error) {
	encoded, err := encoder.EncodeChange(change)
	if err != nil {
		return entry{}, err
	}
	raw, err := json.Marshal(wireEntry{
		Revision:        uint64(after.Revision + 1),
		Previous:        hex.EncodeToString(after.Hash[:]),
		Nonce:           nonce,
		Daemon:          daemon,
		CommittedUnixMS: time.Now().UnixMilli(),
		Change:          encoded,
	})
	if err != nil {
		return entry{}, err
	}
	return decodeEntry(raw)
}

func decodeEntry(raw Entry) (e entry, err error) {
	var wire wireEntry
	if err := json.Unmarshal(raw, &wire); err != nil {
		return entry{}, err
	}
	previous, err := decodeHash(wire.Previous)
	if err != nil {
		return entry{}, err
	}
	change, err := encoder.DecodeChange(wire.Change)
	if err != nil {
		return entry{}, err
	}
	return entry{
		raw:        raw,
		hash:       sha256.Sum256(raw),
		revision:   registrar.Revision(wire.Revision),
		previous:   previous,
		nonce:      wire.Nonce,
		daemon:     wire.Daemon,
		committed:  time.UnixMilli(wire.CommittedUnixMS),
		change:     change,
		references: change.References(),
	}, nil
}

func decodeHash(text string) (hash Hash, err error) {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return Hash{}, err
	}
	if len(decoded) != len(hash) {
		return Hash{}, fmt.Errorf("hash has %d bytes, expected %d", len(decoded), len(hash))
	}
	copy(hash[:], decoded)
	return hash, nil
}

func logKey(revision registrar.Revision) string {
	return fmt.Sprintf("%s%0*d", logPrefix, revisionDigits, revision)
}

func partKey(revision registrar.Revision, part int) string {
	return fmt.Sprintf("%s%0*d/%0*d", snapshotPrefix, revisionDigits, revision, partDigits, part)
}

// parseRevision parses the revision in a key with the given prefix.
func parseRevision(key, prefix string) (revision registrar.Revision, ok bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	number, err := strconv.ParseUint(digits, 10, 64)
	return registrar.Revision(number), err == nil
}

// keyBefore returns the exclusive start key of a listing that begins with the entry of the
// revision.
func keyBefore(revision registrar.Revision) string {
	if revision == 0 {
		return ""
	}
	return logKey(revision - 1)
}
