package completer

import (
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/quarantiner"
)

// noTargetRetryAfter is the Retry-After time of a refusal because no target can take the call.
const noTargetRetryAfter = time.Second

// noQuarantine admits every call.
type noQuarantine struct{}

func (noQuarantine) Begin(context.Context, quarantiner.Fingerprint, string, string) (end func(quarantiner.Outcome), err error) {
	return func(quarantiner.Outcome) {}, nil
}

// noMetrics discards all measurements.
type noMetrics struct{}

func (noMetrics) BeginRequest(string) (end func())                  { return func() {} }
func (noMetrics) RecordDecision(time.Duration)                      {}
func (noMetrics) CountAttempt(string)                               {}
func (noMetrics) RecordAnswer(string, int, int, int, time.Duration) {}
