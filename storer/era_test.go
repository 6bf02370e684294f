package storer_test

import (
	"errors"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	highest := storer.Version(0)
	for _, position := range []struct {
		era      storer.Era
		revision uint64
	}{{0, 1}, {0, storer.MaxRevision}, {1, 0}, {1, 7}, {1, storer.MaxRevision}, {2, 3}, {300, 1}, {storer.MaxEra, storer.MaxRevision}} {
		version, err := storer.NewVersion(position.era, position.revision)
		if err != nil || version <= highest || version.Era() != position.era || version.Revision() != position.revision {
			t.Errorf("%+v: %d after %d, era %d, revision %d, %v", position, version, highest, version.Era(), version.Revision(), err)
		}
		highest = version
	}
}

func TestPositionsOutOfRangeAreRefused(t *testing.T) {
	for era, revision := range map[storer.Era]uint64{1: storer.MaxRevision + 1, storer.MaxEra + 1: 1} {
		var out *storer.RangeError
		if version, err := storer.NewVersion(era, revision); !errors.As(err, &out) {
			t.Errorf("revision %d of era %d is %d, %v", revision, era, version, err)
		}
	}
}

func TestLeasesOfTwoErasDiffer(t *testing.T) {
	for _, era := range []storer.Era{0, 1, 12} {
		lease := storer.NewLeaseID(era, 17)
		if number, err := lease.Number(); err != nil || number != 17 || lease.Era() != era {
			t.Errorf("lease %q: era %d, number %d, %v", lease, lease.Era(), number, err)
		}
	}
	if storer.NewLeaseID(1, 17) == storer.NewLeaseID(2, 17) {
		t.Error("two leases have one identity")
	}
}
