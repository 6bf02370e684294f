package configurator

import (
	"errors"
	"time"
)

// maxAlarms bounds the list of alarms; the oldest is dropped first.
const maxAlarms = 64

// AlarmKind classifies an alarm.
type AlarmKind string

// The kinds of alarms.
const (
	// AlarmBehind means that the log on the platform ends before the current revision; see
	// BehindError.
	AlarmBehind AlarmKind = "behind"
	// AlarmFork means that an entry or a snapshot that contradicts the current history was
	// rejected; see ForkError.
	AlarmFork AlarmKind = "fork"
	// AlarmGap means that entries are missing on the platform; see GapError.
	AlarmGap AlarmKind = "gap"
	// AlarmMalformed means that an entry or a snapshot could not be decoded; see MalformedError.
	AlarmMalformed AlarmKind = "malformed"
)

// Alarm reports to the operators that the log on the platform is incomplete, or that an entry or a
// snapshot, from the platform or another daemon, was rejected because it is malformed or contradicts
// the current history. The daemon keeps its current configuration.
type Alarm struct {
	Kind AlarmKind
	// Err holds the details. It is the typed error that belongs to Kind.
	Err error
	// First and Last are the times of the first and the last occurrence, Count is their number.
	First time.Time
	Last  time.Time
	Count int
	// Active reports whether the condition still holds.
	Active bool
}

// raiseAlarm records an alarm if the error has the type of one of the kinds. If an alarm with the
// same kind and text exists, it is counted again and marked as active instead. The caller holds mu.
func (c *Configurator) raiseAlarm(err error) {
	kind, ok := alarmKindOf(err)
	if !ok {
		return
	}
	now := time.Now()
	for i := range c.alarms {
		if c.alarms[i].Kind == kind && c.alarms[i].Err.Error() == err.Error() {
			c.alarms[i].Last = now
			c.alarms[i].Count++
			c.alarms[i].Active = true
			return
		}
	}
	if len(c.alarms) == maxAlarms {
		c.alarms = c.alarms[1:]
	}
	c.alarms = append(c.alarms, Alarm{Kind: kind, Err: err, First: now, Last: now, Count: 1, Active: true})
	c.settings.Log.Error("configurator: rejected input, keeping the current configuration", "alarm", string(kind), "error", err)
}

// clear marks the alarms of the given kinds as inactive. The caller holds mu.
func (c *Configurator) clear(kinds ...AlarmKind) {
	for i := range c.alarms {
		for _, kind := range kinds {
			if c.alarms[i].Kind == kind && c.alarms[i].Active {
				c.alarms[i].Active = false
				c.settings.Log.Info("configurator: alarm cleared", "alarm", string(kind))
			}
		}
	}
}

func alarmKindOf(err error) (kind AlarmKind, ok bool) {
	var behind *BehindError
	var fork *ForkError
	var gap *GapError
	var malformed *MalformedError
	switch {
	case errors.As(err, &behind):
		return AlarmBehind, true
	case errors.As(err, &fork):
		return AlarmFork, true
	case errors.As(err, &gap):
		return AlarmGap, true
	case errors.As(err, &malformed):
		return AlarmMalformed, true
	}
	return "", false
}
