package placer

import (
	"math"
	"time"
)

const (
	// momentaryDecay is the time constant with which a reported factor loses its weight in favour of the lasting one.
	momentaryDecay = 300 * time.Millisecond
	// forgottenReportAge is the age from which a reported factor has no noticeable weight.
	forgottenReportAge = 8 * momentaryDecay
	// reportPrior is the number of independent reports that the usual factor counts for, and maxReportWeight bounds the weight
	// of earlier reports, so that a lasting change is followed.
	reportPrior     = 1
	maxReportWeight = 50
	// samplePrior and maxSampleWeight are the same for measured times, which vary more.
	samplePrior     = 4
	maxSampleWeight = 20
	// maxFactor bounds the factors that are believed.
	maxFactor = 8
	// maxSampleRatio bounds a measured time in relation to the expected one. Beyond it the target had other work than was known,
	// or more or less of the prompt was cached.
	maxSampleRatio = 2.5
	// percent is the reported factor of usual work.
	percent = 100
)

// LoadReport is what a target reports of its load.
type LoadReport struct {
	// Requests is the number of running and waiting requests.
	Requests int
	// WorkPercent is how long work takes at this moment, in percent of its usual time; zero if the target does not report it.
	WorkPercent int
}

// speed is what is known of how long work takes at an incarnation, as a factor of the usual time at the targets of its service.
//
// The factor is the product of two. One is what the target reports: the last report, which fades towards the mean of all
// reports. The other is what measured times show beyond that, so that a lasting speed counts once, whether or not the reports
// contain it. Both are 1 until something is known.
type speed struct {
	// reportSum is the weighted sum of the reported factors, and reportWeight the sum of their weights. Reports that follow each
	// other closely tell of the same moment and have less weight.
	reportSum, reportWeight float64
	// reported is the last reported factor.
	reported   float64
	reportedAt time.Time
	// shared is the last report that peers know too, and changed is set while the last report waits to be told to them.
	shared   float64
	sharedAt time.Time
	changed  bool
	// logSum is the weighted sum of the logarithms of the ratios between measured and expected times, and sampleWeight their
	// number.
	logSum, sampleWeight float64
	// unexplained is the factor that these samples show.
	unexplained float64
}

// recordReport records a reported factor.
func (s *speed) recordReport(workPercent int, now time.Time) {
	if workPercent <= 0 {
		return
	}
	factor := min(max(float64(workPercent)/percent, 1./maxFactor), maxFactor)
	weight := 1.
	if !s.reportedAt.IsZero() {
		weight = -math.Expm1(-float64(now.Sub(s.reportedAt)) / float64(momentaryDecay))
	}
	kept := 1 - weight*max(s.reportWeight-maxReportWeight, 0)/maxReportWeight
	s.reportSum, s.reportWeight = s.reportSum*kept+weight*factor, s.reportWeight*kept+weight
	s.reported, s.reportedAt = factor, now
}

// meanReport returns the mean of the reported factors, shrunk towards the usual one.
func (s *speed) meanReport() float64 {
	return (reportPrior + s.reportSum) / (reportPrior + s.reportWeight)
}

// reportFactor returns the factor that the reports let expect now.
func (s *speed) reportFactor(now time.Time) float64 {
	mean := s.meanReport()
	age := now.Sub(s.reportedAt)
	if s.reportWeight == 0 || age > forgottenReportAge {
		return mean
	}
	return mean + (s.reported-mean)*math.Exp(-float64(max(age, 0))/float64(momentaryDecay))
}

// recordSample records the ratio between the measured time of some work and the time that was expected by the reports.
func (s *speed) recordSample(ratio float64) {
	if ratio <= 0 {
		return
	}
	ratio = min(max(ratio, 1./maxSampleRatio), maxSampleRatio)
	if s.sampleWeight >= maxSampleWeight {
		s.logSum *= 1 - 1./maxSampleWeight
		s.sampleWeight *= 1 - 1./maxSampleWeight
	}
	s.logSum += math.Log(ratio)
	s.sampleWeight++
	s.unexplained = math.Exp(s.logSum / (samplePrior + s.sampleWeight))
}

// lastingFactor returns the factor that measured times show beyond the reports.
func (s *speed) lastingFactor() float64 {
	if s.sampleWeight == 0 {
		return 1
	}
	return s.unexplained
}

// factor returns how long work is expected to take at the target now, as a factor of the usual time.
func (s *speed) factor(now time.Time) float64 {
	return s.lastingFactor() * s.reportFactor(now)
}

// scaled returns the time multiplied by a factor.
func scaled(usual time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(usual))
}
