package admitter

import (
	"math"
	"time"
)

const (
	// shortRefusedRatio and shortLateRatio are the fractions of the work that was refused for lack of capacity or time, and
	// that began late, beyond which a service is overloaded. Single requests are refused or late without overload.
	shortRefusedRatio = 0.02
	shortLateRatio    = 0.2
	// minEvidence is the number of requests that have to be refused or late within a second before a service counts as
	// overloaded. One of few requests says nothing of the service.
	minEvidence = 5
	// downRatio is the fraction of the demanded work below which a service counts as down. Its few requests are refused
	// by the placer, and are served again as soon as there are targets.
	downRatio = 0.05
	// drainRatio is the room, as a fraction of the work that is served, while requests begin late, so that the queues at the
	// targets get shorter.
	drainRatio = 0.9
	// minDrainedRatio bounds the room while requests only begin late, as a fraction of what was served when the shortage
	// was found. Requests may begin late for reasons that less work does not change.
	minDrainedRatio = 0.75
	// drainedGrowth raises that bound, per second.
	drainedGrowth = 0.02
	// roomGrowth raises the room per second while no requests are refused or late, and roomAcceleration raises roomGrowth,
	// since more capacity is likely to be free the longer that lasts.
	roomGrowth       = 0.05
	roomAcceleration = 0.05
	// roomExcess is the room, as a multiple of the demand, at which the shortage ends.
	roomExcess = 1.2
	// maxStep bounds the time by which the room grows at once.
	maxStep = time.Second
)

// supply is what became of the work of a service within the last second at all known daemons.
type supply struct {
	served, late, refused float64
	// shed is the work that was not admitted, and perRequest the mean work of a request.
	shed, perRequest float64
}

// concluded returns the work whose requests have begun or were refused.
func (s supply) concluded() float64 { return s.served + s.refused }

// exceeds reports whether a part of the concluded work is evidence of an overload.
func (s supply) exceeds(part, ratio float64) bool {
	return part > ratio*s.concluded() && part >= minEvidence*s.perRequest
}

// capacity returns the work that the service can take while work is refused: the admitted work less the refused fraction of
// what has been concluded, but at least what was served. The former does not lag behind a demand that changes.
func (s supply) capacity(demanded float64) float64 {
	admitted := max(demanded-s.shed, 0)
	return max(admitted*s.served/max(s.concluded(), 1), s.served)
}

// strained reports whether work was refused or late at all, so that daemons tell each other what is demanded.
func (s supply) strained() bool { return s.refused+s.late > shortRefusedRatio/2*s.concluded() }

// shortage estimates how much work a service can take while it is overloaded.
type shortage struct {
	// room is the work per second that is admitted; zero if the service is not overloaded.
	room float64
	// drainedRoom is what the room is not lowered below only because requests begin late.
	drainedRoom float64
	// calm is the time since the last refused or late work.
	calm      time.Duration
	updatedAt time.Time
}

// update adapts the room. demanded is the work that was demanded within the last second.
func (s *shortage) update(now supply, demanded float64, at time.Time) {
	step := min(at.Sub(s.updatedAt), maxStep)
	s.updatedAt = at
	refused := now.exceeds(now.refused, shortRefusedRatio)
	late := now.exceeds(now.late, shortLateRatio)
	switch {
	case now.served < downRatio*demanded:
		s.room = 0
	case refused:
		s.room, s.drainedRoom, s.calm = now.capacity(demanded), minDrainedRatio*now.served, 0
	case late && s.room == 0:
		s.room, s.drainedRoom, s.calm = now.served, minDrainedRatio*now.served, 0
	case late:
		s.calm = 0
		s.drainedRoom *= math.Exp(drainedGrowth * step.Seconds())
		s.room = max(drainRatio*now.served, s.drainedRoom)
	case s.room > 0:
		s.calm += step
		s.room *= math.Exp((roomGrowth + roomAcceleration*s.calm.Seconds()) * step.Seconds())
		if s.room > roomExcess*demanded && s.calm >= maxStep {
			s.room = 0
		}
	}
}
