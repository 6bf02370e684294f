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

// medianEstimator estimates a figure by the median of its last samples.
type medianEstimator struct {
	samples []float64
	median  float64
}

func (e *medianEstimator) add(sample float64) {
	if len(e.samples) == maxSamples {
		e.samples = e.samples[1:]
	}
	e.samples = append(e.samples, sample)
	sorted := slices.Sorted(slices.Values(e.samples))
	e.median = sorted[len(sorted)/2]
}

// known reports whether there are enough samples.
func (e *medianEstimator) known() bool { return e != nil && len(e.samples) >= minSamples }

// prefillEstimator estimates the prefill rate of the usual engine of a service.
type prefillEstimator struct{ medianEstimator }

// add adds a sample: the prefill time of a prompt that did not wait for the prefill of another, at an engine that takes the
// usual time multiplied by a factor.
func (e *prefillEstimator) add(tokens int, took time.Duration, factor float64) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	e.medianEstimator.add(float64(tokens) / took.Seconds() * factor)
}

// prefillTime returns the time that the usual engine is expected to take for the prefill of the tokens.
func (e *prefillEstimator) prefillTime(tokens int) time.Duration {
	rate := float64(defaultPrefillRate)
	if e != nil && e.known() {
		rate = e.median
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// sampleSpeed records the time from the choice to the first event, both for the prefill rate of the service and for the speed
// of the target. The target's speed is measured against the rate that was known before.
func (p *Placer) sampleSpeed(a *Attempt) {
	t, now := a.target, p.settings.Now()
	tokens, took := a.work.pendingPrefill.total(), now.Sub(a.chosenAt)
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	rates := p.rates[t.Service]
	if rates == nil {
		rates = &prefillEstimator{}
		p.rates[t.Service] = rates
	}
	reported := t.speed.reportFactor(now)
	if rates.known() {
		t.speed.recordSample(float64(took) / (reported * float64(rates.prefillTime(tokens))))
	}
	rates.add(tokens, took, reported*t.speed.lastingFactor())
}

// RecordAnswer records a whole answer of a target without a model. The time that it took is a sample of the target's speed and
// of the usual time of the service.
func (a *Attempt) RecordAnswer() {
	if a.model != "" {
		return
	}
	a.updateTarget(func(t *target, now time.Time) {
		p := a.placer
		times := p.answerTimes[t.Service]
		if times == nil {
			times = &medianEstimator{}
			p.answerTimes[t.Service] = times
		}
		took, reported := float64(now.Sub(a.chosenAt))*a.slotFraction, t.speed.reportFactor(now)
		if took <= 0 {
			return
		}
		if times.known() {
			t.speed.recordSample(took / (reported * times.median))
		}
		times.add(took / (reported * t.speed.lastingFactor()))
	})
}

// slotFraction returns the part of a request's time at the target in which it has a slot, if it goes there now.
func (t *target) slotFraction(requests int) float64 {
	return min(float64(max(t.Slots, 1))/float64(max(requests, 0)+1), 1)
}
