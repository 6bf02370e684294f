package limiter

import (
	"math"
	"time"
)

// burstPeriod is the time that an empty bucket takes to fill, so its capacity is the rate times
// burstPeriod.
const burstPeriod = time.Second

// demandTimeConstant is the time constant of the exponential moving average of demand.
const demandTimeConstant = 2 * time.Second

// bucket is a token bucket. A call may draw more than the level, so that calls larger than the
// capacity are possible. Further calls are then refused until the bucket is out of debt.
type bucket struct {
	level      float64
	refilledAt time.Time
	demand     movingAverage
}

func (b *bucket) refill(rate float64, now time.Time) {
	capacity := rate * burstPeriod.Seconds()
	if b.refilledAt.IsZero() {
		b.level = capacity
	} else {
		b.level = min(b.level+rate*now.Sub(b.refilledAt).Seconds(), capacity)
	}
	b.refilledAt = now
}

// delay returns the time until the bucket is out of debt. A rate of zero means no limit.
func (b *bucket) delay(rate float64) time.Duration {
	if rate <= 0 || b.level > 0 {
		return 0
	}
	return time.Duration(-b.level/rate*float64(time.Second)) + time.Millisecond
}

func (b *bucket) draw(amount float64) { b.level -= amount }

// movingAverage is an exponentially decaying average of an amount per second.
type movingAverage struct {
	sum       float64
	updatedAt time.Time
}

func (a *movingAverage) add(amount float64, now time.Time) {
	a.sum = a.decayed(now) + amount
	a.updatedAt = now
}

func (a *movingAverage) decayed(now time.Time) float64 {
	elapsed := max(now.Sub(a.updatedAt), 0)
	return a.sum * math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
}

func (a *movingAverage) perSecond(now time.Time) float64 {
	return a.decayed(now) / demandTimeConstant.Seconds()
}
