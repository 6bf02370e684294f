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
	roomGrowth       = 0.03
	roomAcceleration = 0.03
	// roomExcess is the room, as a multiple of the demand, at which the shortage ends.
	roomExcess = 1.2
	// maxStep bounds the time by which the room grows at once.
	maxStep = time.Second
)

// supply is what became of the work of a service within the last second at all known daemons.
type supply struct {
	served, late, refused float64
}

// concluded returns the work whose requests have begun or were refused.
func (s supply) concluded() float64 { return s.served + s.refused }

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
	refused := now.refused > shortRefusedRatio*now.concluded()
	late := now.late > shortLateRatio*now.concluded()
	switch {
	case now.served < downRatio*demanded:
		s.room = 0
	case refused || late && s.room == 0:
		s.room, s.drainedRoom, s.calm = now.served, minDrainedRatio*now.served, 0
	case late:
		s.calm = 0
		s.drainedRoom *= math.Exp(drainedGrowth * step.Seconds())
		s.room = max(min(s.room, drainRatio*now.served), s.drainedRoom)
	case s.room > 0:
		s.calm += step
		s.room *= math.Exp((roomGrowth + roomAcceleration*s.calm.Seconds()) * step.Seconds())
		if s.room > roomExcess*demanded && s.calm >= maxStep {
			s.room = 0
		}
	}
}
