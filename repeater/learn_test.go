package repeater_test

import (
	"slices"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/repeater"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Guards against a confirmed configuration that no daemon can tell any more (CONFIG): the store came back empty.
func TestSupersedingItemsStayIfStoreLostAll(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}, Supersedes: func(known, restored storer.Item) bool {
		return string(known.Value) > string(restored.Value)
	}})
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: at(t, 1, 5)}}, false)
	items.Confirm(at(t, 1, 10), clocker.Now())
	items.Reset(nil, true)
	items.Confirm(at(t, 2, 3), clocker.Now())
	events, err := items.Watch(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := keysOf(events); !slices.Equal(got, []string{"+a1"}) {
		t.Errorf("after the restore a list gives %v", got)
	}
}
