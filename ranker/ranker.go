// Package ranker orders daemons in a way that all of them agree on without asking each other.
//
// Each key has an order of its own, by rendezvous hashing, so that duties for many keys spread over the daemons, and only
// the duties of a daemon that comes or goes move.
//
// # Usage
//
//	if ranker.Position(self, others, key) < 2 {
//		// This daemon is one of the first two for the key.
//	}
package ranker

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

// Position returns the position of the daemon with the name self among itself and the others, from zero.
func Position(self string, others []string, key uint64) (position int) {
	own := xxh3.HashStringSeed(self, key)
	for _, other := range others {
		if score := xxh3.HashStringSeed(other, key); score > own || score == own && other < self {
			position++
		}
	}
	return position
}

// Member is a daemon that Compare orders.
type Member struct {
	Name string
	// LinkMegabits is the bandwidth of the daemon's link in Mbit/s.
	LinkMegabits float64
}

// Compare orders daemons for a duty that costs bandwidth, in the same way at all daemons: the largest link comes first, and
// daemons with equal links are in an order of the duty's own. It returns a negative number if a comes before b.
func Compare(duty string, a, b Member) int {
	rank := func(m Member) uint64 { return xxh3.HashString(duty + " " + m.Name) }
	return cmp.Or(cmp.Compare(b.LinkMegabits, a.LinkMegabits), cmp.Compare(rank(a), rank(b)), strings.Compare(a.Name, b.Name))
}

// First returns the first of the daemons for a key, in their order: those whose Position among the names is below count.
func First(names []string, key uint64, count int) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashStringSeed(b, key), xxh3.HashStringSeed(a, key)), strings.Compare(a, b))
	})
	return ordered[:min(count, len(ordered))]
}
