package main

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	holderKey = "rill/weights/holder"
	// cutTime and rollGap are the doses of the site pages, see claim.txt.
	cutTime  = 4 * time.Second
	rollGap  = time.Second
	replicas = 12
	// lateTime is how long every second order stays unanswered and is carried out late, as in claim.txt.
	lateTime = 5 * time.Second
	// cutAfter is the time from the release of the lock to the cut.
	cutAfter = 150 * time.Millisecond
)

func init() { cases["holders"] = playHolders }

// playHolders plays two planned stops, new weights, orders that are carried out late, and a cut from the store of a machine
// that is neither of the stopped ones. It is judged by ONE: two
// holders in touch whose orders to one replica follow each other within leaseMs.
func playHolders(w *world) (broken bool, err error) {
	w.configure(false)
	for i := range replicas {
		r := &replica{id: fmt.Sprintf("i-7f3a91c%x", i), service: "engines", zone: "sapporo", model: true, slots: 64, work: 20 * time.Millisecond, load: 830 * time.Millisecond}
		if _, err := w.addReplica(r); err != nil {
			return false, err
		}
	}
	link, err := newProxy(w.store.Address())
	if err != nil {
		return false, err
	}
	defer link.close()
	const (
		reader = "front-sapporo-4"
		others = 3
	)
	for i := range others {
		if _, err := w.startDaemon(fmt.Sprintf("front-sapporo-%d", i+1), "sapporo", 100, w.store.Address()); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return w.store.Value(holderKey) != "" }) {
		return false, errors.New("no daemon became the holder")
	}
	// The machine with the largest link reads the store for the others of its zone. It starts last, so it isn't the holder.
	if _, err := w.startDaemon(reader, "sapporo", 200, link.address()); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	c := w.newClient()
	go c.load(slices.Clone(w.daemons), 50, time.Minute, func(int) bool { return true })
	time.Sleep(contact + 9*time.Second)

	first := w.store.Value(holderKey)
	if first == "" || first == reader {
		return false, fmt.Errorf("%w: the holder is %q", errNotReached, first)
	}
	stops := map[string]time.Time{first: time.Now()}
	w.daemon(first).signal(syscall.SIGTERM)
	if !await(2*time.Second, func() bool { return w.store.Value(holderKey) != first }) {
		return false, fmt.Errorf("%w: the holder keeps the lock", errNotReached)
	}
	w.note("lock released", "daemon", first)
	w.nameWeights(2)
	if w.trouble {
		time.Sleep(cutAfter)
		stops[reader] = time.Now()
		w.note("cut from the store", "daemon", reader)
		link.cut()
		time.AfterFunc(cutTime, link.heal)
		w.lateOrders(time.Now().Add(lateTime))
	}
	if !await(5*time.Second, func() bool { return len(w.allOrders()) > 0 }) {
		return false, fmt.Errorf("%w: no order", errNotReached)
	}
	second := w.allOrders()[0].holder
	time.Sleep(max(time.Until(stops[first].Add(rollGap)), 0))
	stops[second] = time.Now()
	w.daemon(second).signal(syscall.SIGTERM)
	time.Sleep(15 * time.Second)

	orders := w.allOrders()
	slices.SortFunc(orders, func(a, b order) int { return a.at.Compare(b.at) })
	last := make(map[string]order)
	for _, o := range orders {
		before, known := last[o.replica]
		last[o.replica] = o
		gap := o.at.Sub(before.at)
		if !known || before.holder == o.holder || gap >= leaseBound {
			continue
		}
		inTouch := !disturbed(stops, before) && !disturbed(stops, o)
		w.note("turn", "replica", o.replica, "from", before.holder, "to", o.holder, "gap_ms", gap.Milliseconds(), "fences", []uint64{before.fence, o.fence}, "in touch", inTouch)
		broken = broken || inTouch
	}
	w.note("verdict", "broken", broken, "orders", len(orders))
	if len(orders) < replicas {
		return false, fmt.Errorf("only %d orders", len(orders))
	}
	return broken, nil
}

// disturbed reports whether the sender of an order had been stopped or cut off when it arrived. All machines had run for over
// contactMs when the first was stopped, and the store itself is never disturbed.
func disturbed(stops map[string]time.Time, o order) bool {
	at, known := stops[o.holder]
	return known && o.at.After(at)
}

func (w *world) daemon(name string) *daemon {
	for _, d := range w.daemons {
		if d.name == name {
			return d
		}
	}
	panic("no daemon " + name)
}

// await waits until a condition holds, and reports whether it does in time.
func await(timeout time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
