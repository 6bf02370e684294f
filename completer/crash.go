package completer

import (
	"net/netip"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
)

// CrashAttributor finds out which messages crash targets, whatever else a call contains.
type CrashAttributor interface {
	// Verdict tells whether a call with these causes is to be refused, since they crash targets.
	Verdict(causes []attributor.Cause) attributor.Verdict
	// RecordBroken records that the connection to an incarnation of a target broke while it ran a call with these causes.
	RecordBroken(causes []attributor.Cause, incarnation uint64, address netip.AddrPort)
	// RecordCompletion records that the answer to a call with these causes is complete.
	RecordCompletion(causes []attributor.Cause)
}

// sharedMessageCauses returns the causes of the call's messages that other calls may share: all but the last one.
func sharedMessageCauses(request Request) (causes []attributor.Cause) {
	for _, message := range request.Messages[:max(len(request.Messages)-1, 0)] {
		causes = append(causes, attributor.PartCause(request.Model, message.Role+"\n"+message.Content))
	}
	return causes
}

// checkMessages returns a QuarantinedError if a message of the call crashes targets.
func (c *chooser) checkMessages() error {
	crashes := c.completer.settings.Crashes
	if crashes == nil {
		return nil
	}
	if verdict := crashes.Verdict(c.causes); verdict.Refused {
		return &quarantiner.QuarantinedError{Fingerprint: c.fingerprint, RetryAfter: verdict.RetryAfter}
	}
	return nil
}

// recordMessages records how an attempt at a target ended.
func (c *chooser) recordMessages(target, incarnation string, outcome quarantiner.Outcome) {
	crashes := c.completer.settings.Crashes
	switch {
	case crashes == nil:
	case outcome == quarantiner.Broken && incarnation != "":
		crashes.RecordBroken(c.causes, attributor.NamedIncarnation(target, incarnation), netip.AddrPort{})
	case outcome == quarantiner.Completed:
		crashes.RecordCompletion(c.causes)
	}
}
