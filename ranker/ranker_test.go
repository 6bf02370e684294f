package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/ranker"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// Each daemon has a position of its own, and one that leaves does not change the order of the others.
func TestDaemonsAgreeOnPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		var names []string
		for i := range rapid.IntRange(2, 20).Draw(t, "daemons") {
			names = append(names, fmt.Sprint("daemon ", i))
		}
		order := func(names []string) []string {
			ordered := make([]string, len(names))
			for i, name := range names {
				others := slices.Delete(slices.Clone(names), i, i+1)
				ordered[ranker.Position(name, others, key)] = name
			}
			return ordered
		}
		all := order(names)
		if slices.Contains(all, "") {
			t.Fatalf("two daemons have the same position: %q", all)
		}
		leaving := rapid.IntRange(0, len(names)-1).Draw(t, "leaving")
		rest := order(slices.Delete(slices.Clone(names), leaving, leaving+1))
		if want := slices.DeleteFunc(all, func(name string) bool { return name == names[leaving] }); !slices.Equal(rest, want) {
			t.Fatalf("the order without %s is %q, want %q", names[leaving], rest, want)
		}
	})
}
