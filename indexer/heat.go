package indexer

import (
	"math"
	"time"
)

// heatTick is the resolution of the time at which the heat of a prefix last changed.
const heatTick = 10 * time.Millisecond

// initialHeat is the heat of a prefix that was stored but not yet requested. It ranks the prefix
// above those whose last request is long past, which are evicted first.
const initialHeat = 0.5

// heat is a count of requests that decays exponentially: its value at the time tick. It takes eight
// bytes.
type heat struct {
	value float32
	tick  uint32
}

func newHeat(now time.Time) heat { return heat{value: initialHeat, tick: tickOf(now)} }

// tickOf returns a time in ticks. It wraps around after more than a year, which only makes a prefix
// look older or newer.
func tickOf(now time.Time) uint32 { return uint32(now.UnixNano() / int64(heatTick)) }

// valueAt returns the heat at the given time: the stored value, halved once per half-life since tick.
func (h heat) valueAt(now time.Time, halfLife time.Duration) float64 {
	elapsed := time.Duration(int32(tickOf(now)-h.tick)) * heatTick
	if elapsed <= 0 {
		return float64(h.value)
	}
	return float64(h.value) * math.Exp2(-float64(elapsed)/float64(halfLife))
}

// add counts one request and returns the new heat.
func (h *heat) add(now time.Time, halfLife time.Duration) float64 {
	value := h.valueAt(now, halfLife) + 1
	h.value = float32(value)
	h.tick = tickOf(now)
	return value
}
