package storer_test

import (
	"errors"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Guards against a revision that is read as one of another era.
func TestRevisionsBeyondRangeAreRefused(t *testing.T) {
	for _, era := range []storer.Era{0, 1} {
		version, err := storer.NewVersion(era, storer.MaxRevision)
		if err != nil || version.Era() != era || version.Revision() != storer.MaxRevision {
			t.Errorf("the highest revision of era %d comes back as revision %d of era %d, %v", era, version.Revision(), version.Era(), err)
		}
		var outOfRange *storer.RangeError
		if _, err := storer.NewVersion(era, storer.MaxRevision+6); !errors.As(err, &outOfRange) {
			t.Errorf("a revision beyond the range in era %d: %v", era, err)
		}
	}
}
