package checker

import "sync"

// Tally counts results by verdict. It is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	counts Counts
}

// Counts are the sums of a Tally.
type Counts struct {
	Requests int
	Complete int
	Lost     int
	Doubled  int
	Mixed    int
	Refused  int
}

// Add counts a result.
func (t *Tally) Add(result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	switch result.Verdict {
	case Complete:
		t.counts.Complete++
	case Mixed:
		t.counts.Mixed++
	case Lost:
		t.counts.Lost++
	case Refused:
		t.counts.Refused++
	}
}

// AddDoubled adds a number of calls that were executed more than once.
func (t *Tally) AddDoubled(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Doubled += count
}

// Counts returns the current sums.
func (t *Tally) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// AnswersCorrect reports whether no call was lost, doubled or mixed. Refused calls are allowed.
func (c Counts) AnswersCorrect() bool {
	return c.Lost == 0 && c.Doubled == 0 && c.Mixed == 0
}
