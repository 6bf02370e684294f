package assembler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/seeder"
)

const (
	// maxMessageCut is the longest time for which no messages reach some daemons, and maxMessagePause the longest time between two cuts.
	maxMessageCut   = 4 * time.Second
	maxMessagePause = 2 * time.Second
	// messagesStream keeps what is drawn for the cuts apart from the rest of a seed's history.
	messagesStream = 1 << 32
)

// Guards against streams that are joined from two software versions (ORDER) since some daemons missed what others told them, in the
// histories of TestSoakOfTargetsKeepsRules. Longer runs: as there.
func TestSoakOfCutMessagesKeepsRules(t *testing.T) {
	seeder.Soak(t, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, messagesStream))
		playTargetsSoak(t, seed, func(s *targetsSoak, end time.Time) { s.cutMessages(random, end) })
	})
}

// cutMessages lets the messages of other daemons to some daemons be lost for a while, again and again until the end.
func (s *targetsSoak) cutMessages(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(maxMessagePause))))
		s.mu.Lock()
		var links []*peerLink
		for _, d := range s.daemons {
			if random.IntN(2) == 0 {
				links = append(links, d.fromPeers)
			}
		}
		s.mu.Unlock()
		for _, l := range links {
			l.set(true)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxMessageCut))))
		for _, l := range links {
			l.set(false)
		}
	}
}
