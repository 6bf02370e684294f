package comparer

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of scheduled actions. Actions run in the order of their times, and those with
// equal times in the order in which they were added.
type clock struct {
	now          time.Time
	pending      actions
	lastSequence uint64
}

// action is a callback that is scheduled for a time.
type action struct {
	at       time.Time
	sequence uint64
	callback func()
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000_000, 0)} }

// Now returns the virtual time.
func (c *clock) Now() time.Time { return c.now }

// after schedules a callback after a delay.
func (c *clock) after(delay time.Duration, callback func()) { c.schedule(c.now.Add(delay), callback) }

// schedule queues a callback for a time, which must not be in the past.
func (c *clock) schedule(at time.Time, callback func()) {
	c.lastSequence++
	heap.Push(&c.pending, action{at: at, sequence: c.lastSequence, callback: callback})
}

// step advances the clock to the next action, runs it and reports whether there was one.
func (c *clock) step() bool {
	if len(c.pending) == 0 {
		return false
	}
	next := heap.Pop(&c.pending).(action)
	c.now = next.at
	next.callback()
	return true
}

// actions is a heap of actions by time and sequence number.
type actions []action

func (a actions) Len() int { return len(a) }

func (a actions) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].sequence < a[j].sequence
	}
	return a[i].at.Before(a[j].at)
}

func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *actions) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *actions) Pop() any {
	last := len(*a) - 1
	popped := (*a)[last]
	*a = (*a)[:last]
	return popped
}
