package admitter

import (
	"math"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// workMemory is the time constant of sums of recent work, and usualMemory that of an account's usual work.
	workMemory  = time.Second
	usualMemory = time.Minute
	// ratioMemory is the time constant of the fraction of shared prompt parts that targets prefill.
	ratioMemory = 10 * time.Second
)

// decay returns the factor by which a sum with a time constant decays within a time.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / constant.Seconds())
}

// decayed is a sum that decays exponentially.
type decayed struct {
	sum     float64
	updated time.Time
}

func (d *decayed) add(amount float64, now time.Time, constant time.Duration) {
	d.sum = d.at(now, constant) + amount
	d.updated = now
}

func (d *decayed) at(now time.Time, constant time.Duration) float64 {
	return d.sum * decay(now.Sub(d.updated), constant)
}

// account is what one account demands of one service at this daemon.
type account struct {
	name string
	// demanded is the work of the last second, by urgency.
	demanded [placer.Urgencies]float64
	updated  time.Time
	// usual is the work of the last minute that was admitted. What is shed does not enlarge an account's share.
	usual decayed
}

func (a *account) add(urgency int, work float64, now time.Time) {
	a.forward(now)
	a.demanded[urgency] += work
}

// forward lets the recent work decay until now.
func (a *account) forward(now time.Time) {
	factor := decay(now.Sub(a.updated), workMemory)
	for urgency := range a.demanded {
		a.demanded[urgency] *= factor
	}
	a.updated = now
}

// demand returns what the account demands of a service.
func (a *account) demand(service placer.ServiceHash, hash placer.AccountHash, now time.Time) placer.AccountDemand {
	a.forward(now)
	demand := placer.AccountDemand{
		Service: service, Account: hash, Accounts: 1, Usual: int(a.usual.at(now, usualMemory) / usualMemory.Seconds()),
	}
	for urgency, work := range a.demanded {
		demand.Work[urgency] = int(math.Round(work))
	}
	return demand
}
