package storer

import (
	"fmt"
	"strconv"
	"strings"
)

// Era counts how often the store has come back from a copy: writes that it had acknowledged are gone then, and it gives their
// revisions and the ids of leases out again. It is zero if the platform tells none.
type Era uint64

// revisionBits and eraBits are the numbers of bits of a Version that contain the revision and the era. Together they fit into a
// signed number. Up to era 8191 a Version is below 2^53, so that every JSON decoder reads it exactly.
const (
	revisionBits = 40
	eraBits      = 23
)

// MaxRevision is the highest revision that a Version can contain, and MaxEra the highest era.
const (
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<eraBits - 1
)

// NewVersion returns the version of a write in an era of the store. Versions are ordered by their eras first, so that a write
// after a restore has a higher version than all those before it, although its revision may be lower. In era zero the version
// is the revision. It returns a RangeError if the numbers do not fit.
func NewVersion(era Era, revision uint64) (Version, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, &RangeError{Era: era, Revision: revision}
	}
	return Version(uint64(era)<<revisionBits | revision), nil
}

// Era returns the era of a version that NewVersion has returned.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision of a version that NewVersion has returned.
func (v Version) Revision() uint64 {
	return uint64(v) & MaxRevision
}

// leaseSeparator separates the id of a lease at the store from the era.
const leaseSeparator = "@"

// NewLeaseID returns the identity of a lease: its id at the store together with the era, since ids are given out again. In
// era zero it is the id alone.
func NewLeaseID(era Era, id uint64) LeaseID {
	if era == 0 {
		return LeaseID(strconv.FormatUint(id, 10))
	}
	return LeaseID(fmt.Sprintf("%d%s%d", id, leaseSeparator, era))
}

// Era returns the era in which the lease was granted, as far as it is known.
func (l LeaseID) Era() Era {
	_, text, _ := strings.Cut(string(l), leaseSeparator)
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return Era(era)
}

// Number returns the id of a lease that NewLeaseID has returned.
func (l LeaseID) Number() (id uint64, err error) {
	text, _, _ := strings.Cut(string(l), leaseSeparator)
	return strconv.ParseUint(text, 10, 64)
}

// RangeError reports a position of the store that no Version can contain.
type RangeError struct {
	Era      Era
	Revision uint64
}

// Error describes the position.
func (e *RangeError) Error() string {
	return fmt.Sprintf("revision %d of era %d is out of range", e.Revision, e.Era)
}

// EraError reports that a call referred to a version or a lease of another era than that in which the store answered.
type EraError struct {
	Expected Era
	Current  Era
}

// Error describes the eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("the store is in era %d, expected %d", e.Current, e.Expected)
}
