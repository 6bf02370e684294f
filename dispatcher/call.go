package dispatcher

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"time"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// ledgerPrefix is the prefix of all platform keys of the ledger.
const ledgerPrefix = "orders/"

// Call is one non-idempotent call of a client account to a plain service.
type Call struct {
	Account   string
	Service   string
	Operation string
	// Key is the caller's idempotency key.
	Key string
	// BodyDigest is the SHA-256 digest of Body.
	BodyDigest  [32]byte
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Memory is what Body takes; it may be nil.
	Memory Memory
	// Deadline is when the caller stops waiting. It must carry a monotonic clock reading, so that
	// a daemon that was paused detects that the deadline has passed.
	Deadline  time.Time
	RequestID string
}

// Memory is memory that a call takes. A run retains it, since it goes on when its caller has left.
type Memory interface {
	// Retain lets the memory outlast the next call of Release.
	Retain()
	Release()
}

// Answer is the response of a service to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Repeated reports whether the answer is the outcome of an earlier call with the key.
	Repeated bool
}

// Target is a replica of a service.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// IntentID identifies one intent by its key on the platform and the nonce of the run that wrote
// it.
type IntentID struct {
	Key   string
	Nonce string
}

// State is the state of an intent, in its record or as a daemon reports it. A daemon holds an
// intent from the start of the run until the run's final record is stored.
type State int

// The states of an intent.
const (
	// StateNotHeld means that the daemon does not hold the intent, for example because the daemon
	// has restarted.
	StateNotHeld State = iota
	// StateRunning means that the call may be running now.
	StateRunning
	// StateDone means that the service answered.
	StateDone
	// StateNotRun means that the call did not run under this intent and never will run under it.
	StateNotRun
	// StateMayHaveRun means that the call was sent and that its answer was lost.
	StateMayHaveRun
)

// String returns the name of the state in snake case.
func (s State) String() string {
	switch s {
	case StateRunning:
		return "running"
	case StateDone:
		return "done"
	case StateNotRun:
		return "not_run"
	case StateMayHaveRun:
		return "may_have_run"
	}
	return "not_held"
}

// LookupState is the result of looking up a key at a service.
type LookupState int

// The results of a look-up.
const (
	// LookupUnsupported means that the service does not support look-ups.
	LookupUnsupported LookupState = iota
	// LookupRan means that the call ran. The look-up also returns its answer.
	LookupRan
	// LookupRunning means that the call runs now.
	LookupRunning
	// LookupNeverRuns means that the call did not run and that the service refuses the key from
	// now on.
	LookupNeverRuns
)

// validKey reports whether the key consists of 1 to MaxKeyBytes visible ASCII characters.
func validKey(key string) bool {
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// platformKey returns the key on the platform under which the call's intent is stored.
func platformKey(account, key string) string {
	digest := sha256.Sum256([]byte(key))
	return ledgerPrefix + account + "/" + hex.EncodeToString(digest[:])
}

// requestDigest returns the digest of the fields that a repeat must share with the first call of
// its idempotency key.
func (c *Call) requestDigest() string {
	hash := sha256.New()
	for _, part := range []string{c.Service, c.Operation, c.Method, c.Path, c.Query, c.ContentType} {
		hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		hash.Write([]byte(part))
	}
	hash.Write(c.BodyDigest[:])
	return hex.EncodeToString(hash.Sum(nil))
}
