package detector

import "sync/atomic"

const changeBuffer = 256

// Change is a change of the state or the incarnation of a target. After a crash and restart between
// two polls only the incarnation differs.
type Change struct {
	Target string
	Before Status
	After  Status
}

// Subscription receives the changes of all targets.
type Subscription struct {
	detector *Detector
	changes  chan Change
	dropped  atomic.Uint64
}

// Subscribe subscribes to the changes of all targets. The caller must close the subscription.
func (d *Detector) Subscribe() *Subscription {
	s := &Subscription{detector: d, changes: make(chan Change, changeBuffer)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscriptions[s] = struct{}{}
	return s
}

// C returns the channel of the changes.
func (s *Subscription) C() <-chan Change { return s.changes }

// Dropped returns how many changes were dropped because the channel was full. If the number has
// grown, the subscriber should read the current status of the targets with Detector.Status.
func (s *Subscription) Dropped() uint64 { return s.dropped.Load() }

// Close ends the subscription.
func (s *Subscription) Close() (err error) {
	s.detector.mu.Lock()
	defer s.detector.mu.Unlock()
	delete(s.detector.subscriptions, s)
	return nil
}

// publish sends a change to all subscriptions. It drops the change for a subscription whose channel
// is full. The lock is held.
func (d *Detector) publish(change Change) {
	for s := range d.subscriptions {
		select {
		case s.changes <- change:
		default:
			s.dropped.Add(1)
		}
	}
}
