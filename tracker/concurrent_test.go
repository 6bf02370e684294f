package tracker_test

import (
	"errors"
	"sync"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// Guards against concurrent use that ends the process: a starting daemon applies what the store and other daemons tell at the
// same time. It fails under the race detector.
func TestDeclarationsAreAppliedConcurrently(_ *testing.T) {
	declarations := tracker.NewDeclarationTracker(tracker.DeclarationTrackerSettings{
		Decode: func(storer.Item) (tracker.Declared, error) { return tracker.Declared{}, errors.New("odd") },
		Logger: discardLogger(),
	})
	var group sync.WaitGroup
	for _, event := range []storer.Event{put("a", "torn", 4), deleted("b", 5)} {
		group.Go(func() {
			for range 2000 {
				declarations.HandleEvents([]storer.Event{event}, false)
			}
		})
	}
	group.Wait()
}
