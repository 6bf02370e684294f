package placer

import (
	"math"
	"time"
)

const (
	// announcedChange is by how much a reported factor must differ from what peers know to be announced, as a ratio.
	announcedChange = 1.5
	// maxAnnouncedFactors bounds the factors in one message. Others are announced in the next ones.
	maxAnnouncedFactors = 4
	// maxFactorAge is the age from which a report is not announced any more.
	maxFactorAge = 500 * time.Millisecond
)

// WorkFactor is how long work takes at a target, as the target reported.
type WorkFactor struct {
	Target      TargetHash
	WorkPercent int
	// Age is the time since the target reported it.
	Age time.Duration
}

// differs reports whether a factor that was just reported is news to the peers. What they know fades like what this daemon knows.
func (s *speed) differs(reported float64, now time.Time) bool {
	known := s.meanReport()
	if !s.sharedAt.IsZero() && now.Sub(s.sharedAt) < forgottenReportAge {
		known += (s.shared - known) * math.Exp(-float64(now.Sub(s.sharedAt))/float64(momentaryDecay))
	}
	ratio := reported / known
	return ratio > announcedChange || ratio < 1/announcedChange
}

// exportFactors returns the reports of the last moments that are news to the peers.
func (p *Placer) exportFactors(now time.Time) (factors []WorkFactor) {
	kept := p.changedFactors[:0]
	for _, t := range p.changedFactors {
		age := now.Sub(t.speed.reportedAt)
		switch {
		case age > maxFactorAge || p.byHash[t.hash] != t:
			t.speed.changed = false
		case len(factors) == maxAnnouncedFactors:
			kept = append(kept, t)
		default:
			t.speed.changed = false
			t.speed.shared, t.speed.sharedAt = t.speed.reported, t.speed.reportedAt
			factors = append(factors, WorkFactor{Target: t.hash, WorkPercent: int(t.speed.reported*percent + 0.5), Age: age})
		}
	}
	p.changedFactors = kept
	return factors
}

// noteFactor queues a report of the target for the peers if it is news to them. It must be called before the report is recorded.
func (p *Placer) noteFactor(t *target, report LoadReport, now time.Time) {
	if report.WorkPercent > 0 && p.daemonCount() > 1 && !t.speed.changed && t.speed.differs(float64(report.WorkPercent)/percent, now) {
		t.speed.changed = true
		p.changedFactors = append(p.changedFactors, t)
	}
}

// importFactors records what peers heard from targets, unless this daemon heard it later.
func (p *Placer) importFactors(factors []WorkFactor, now time.Time) {
	for _, factor := range factors {
		t := p.byHash[factor.Target]
		at := now.Add(-factor.Age)
		if t == nil || !at.After(t.speed.reportedAt) {
			continue
		}
		t.speed.recordReport(factor.WorkPercent, at)
		t.speed.shared, t.speed.sharedAt = t.speed.reported, at
	}
}
