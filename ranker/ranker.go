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

import "github.com/zeebo/xxh3"

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
