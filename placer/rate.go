package placer

import (
	"slices"
	"time"
)

const (
	// defaultPrefillRate is the assumed prefill rate of an engine in tokens per second until enough samples exist.
	defaultPrefillRate = 45_000
	// minSampleTokens is the smallest prompt whose prefill counts as a sample.
	minSampleTokens = 3000
	// maxSamples bounds the samples whose median is used. The median tolerates samples of prompts of which, contrary
	// to the estimate, more or less was cached.
	maxSamples = 15
	// minSamples is the number of samples that are needed before their median is used.
	minSamples = 5
)

// prefillEstimator estimates the prefill rate of the engines of a service.
type prefillEstimator struct {
	samples []float64
	median  float64
}

// add adds a sample: the prefill time of a prompt that did not wait for the prefill of another.
func (e *prefillEstimator) add(tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	if len(e.samples) == maxSamples {
		e.samples = e.samples[1:]
	}
	e.samples = append(e.samples, float64(tokens)/took.Seconds())
	sorted := slices.Sorted(slices.Values(e.samples))
	e.median = sorted[len(sorted)/2]
}

// prefillTime returns the time that an engine is expected to take for the prefill of the tokens.
func (e *prefillEstimator) prefillTime(tokens int) time.Duration {
	rate := float64(defaultPrefillRate)
	if e != nil && len(e.samples) >= minSamples {
		rate = e.median
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
