package configurator

import (
	"fmt"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// Overlap is an object of a change that an entry after the base changed as well.
type Overlap struct {
	Reference registrar.Reference
	Revision  registrar.Revision
	Author    string
	Committed time.Time
}

// OverlapError reports that other changes modified the same objects after the base of a commit. The
// commit did not take effect.
type OverlapError struct {
	Base     registrar.Revision
	Current  registrar.Revision
	Overlaps []Overlap
}

// Error lists the objects with the authors and revisions of their last changes.
func (e *OverlapError) Error() string {
	var lines []string
	for _, o := range e.Overlaps {
		lines = append(lines, fmt.Sprintf("%s %q by %q in revision %d", o.Reference.Kind, o.Reference.Name, o.Author, o.Revision))
	}
	return fmt.Sprintf("changed since revision %d: %s", e.Base, strings.Join(lines, ", "))
}

// BaseError reports that the base of a commit is unknown to this daemon: it is newer than the
// current revision, or older than the entries in memory. The commit did not take effect.
type BaseError struct {
	Base    registrar.Revision
	Oldest  registrar.Revision
	Current registrar.Revision
}

// Error describes the range of known bases.
func (e *BaseError) Error() string {
	return fmt.Sprintf("base revision %d is not between %d and %d", e.Base, e.Oldest, e.Current)
}

// InvalidError reports that the change would make the configuration invalid. The commit did not
// take effect.
type InvalidError struct {
	Revision registrar.Revision
	Cause    error
}

// Error describes the reason.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration would not be valid on top of revision %d: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// NotReadyError reports that this daemon has not caught up yet and accepts no commits.
type NotReadyError struct{}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "the daemon has not caught up with the configuration yet"
}

// UnsettledError reports that the outcome of a commit is unknown: the write of the entry was sent,
// and the platform did not confirm in time whether it took effect. The change may still be applied.
type UnsettledError struct {
	Revision registrar.Revision
	Nonce    string
	Cause    error
}

// Error identifies the entry by revision and nonce.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("outcome of revision %d (nonce %s) unknown: %v", e.Revision, e.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// BehindError reports that the platform does not return the entry of the current revision, for
// example after it was restored from an older backup. Commits fail until the missing entries are
// recreated.
type BehindError struct {
	Current registrar.Revision
}

// Error describes the missing revision.
func (e *BehindError) Error() string {
	return fmt.Sprintf("platform does not show revision %d, which is in force", e.Current)
}

// GapError reports that entries are missing between the current revision and the first entry that
// was received.
type GapError struct {
	Current  registrar.Revision
	Received registrar.Revision
}

// Error describes both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("entries between revisions %d and %d are missing", e.Current, e.Received)
}

// ForkError reports that an entry or a snapshot contradicts the current history: its content
// differs from that of a known revision, or it contains a different hash of its predecessor. The
// entry or snapshot was rejected.
type ForkError struct {
	Revision registrar.Revision
	Known    Hash
	Received Hash
}

// Error describes both hashes.
func (e *ForkError) Error() string {
	return fmt.Sprintf("revision %d is %s here and %s there", e.Revision, e.Known, e.Received)
}

// MalformedError reports that an entry or a snapshot was rejected because it could not be decoded.
type MalformedError struct {
	Name  string
	Cause error
}

// Error names the entry or snapshot.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("%s is malformed: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
