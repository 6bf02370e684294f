package quarantiner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// digestBytes is the length of a fingerprint's digest.
const digestBytes = 16

// Fingerprint identifies a call without containing its body.
type Fingerprint struct {
	Account string
	Digest  [digestBytes]byte
}

// NewFingerprint returns the fingerprint of a call with the account and the body digest.
func NewFingerprint(account string, bodyDigest [32]byte) Fingerprint {
	hash := sha256.New()
	hash.Write([]byte(account))
	hash.Write([]byte{0})
	hash.Write(bodyDigest[:])
	fingerprint := Fingerprint{Account: account}
	copy(fingerprint.Digest[:], hash.Sum(nil))
	return fingerprint
}

// String returns the digest in hexadecimal. Operators see this form and use it to lift a
// quarantine.
func (f Fingerprint) String() string { return hex.EncodeToString(f.Digest[:]) }

// ParseFingerprint returns the fingerprint with the account and a digest in the form of String.
func ParseFingerprint(account, digest string) (fingerprint Fingerprint, err error) {
	defer Error.WrapP(&err)
	decoded, err := hex.DecodeString(digest)
	if err != nil {
		return Fingerprint{}, err
	}
	if len(decoded) != digestBytes {
		return Fingerprint{}, errDigestLength
	}
	fingerprint.Account = account
	copy(fingerprint.Digest[:], decoded)
	return fingerprint, nil
}

// owners ranks the members by rendezvous hashing. The first one that can be reached stores the pin
// of the call.
func (f Fingerprint) owners(members []string) []string {
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		hash := xxhash.New()
		_, _ = hash.Write(f.Digest[:])
		_, _ = hash.WriteString(member)
		weights[member] = hash.Sum64()
	}
	return slices.SortedFunc(maps.Keys(weights), func(a, b string) int {
		return cmp.Compare(weights[b], weights[a])
	})
}
