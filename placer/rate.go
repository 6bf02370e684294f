package placer

import (
	"slices"
	"time"
)

const (
	// defaultReadRate is the rate at which an engine reads a prompt, in tokens a second, before
	// any was measured.
	defaultReadRate = 45_000
	// measuredTokens is the smallest prompt whose reading tells the rate.
	measuredTokens = 3000
	// keptRates bounds the measurements whose median counts. A median stands samples whose prompt
	// was cached, or not cached, against what was expected.
	keptRates = 15
	// fewestRates is the number of measurements from which on they count.
	fewestRates = 5
)

// readRates learns how fast the engines of a service read prompts.
type readRates struct {
	samples []float64
	median  float64
}

// add takes a prompt that waited behind no other.
func (r *readRates) add(tokens int, took time.Duration) {
	if tokens < measuredTokens || took <= 0 {
		return
	}
	if len(r.samples) == keptRates {
		r.samples = r.samples[1:]
	}
	r.samples = append(r.samples, float64(tokens)/took.Seconds())
	sorted := slices.Sorted(slices.Values(r.samples))
	r.median = sorted[len(sorted)/2]
}

// reading is how long an engine takes to read the tokens.
func (r *readRates) reading(tokens int) time.Duration {
	rate := float64(defaultReadRate)
	if r != nil && len(r.samples) >= fewestRates {
		rate = r.median
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
