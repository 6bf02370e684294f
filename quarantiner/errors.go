package quarantiner

import (
	"errors"
	"fmt"
	"time"
)

var (
	errUnknownDaemon = errors.New("daemon is not a peer")
	errDigestLength  = fmt.Errorf("a fingerprint has %d bytes", digestBytes)
	errUnknownKind   = errors.New("unknown kind of request")
	errNotGranted    = errors.New("the isolator did not grant an isolated run")
)

// QuarantinedError reports that a call was not run, because targets crashed during its earlier runs.
type QuarantinedError struct {
	Fingerprint Fingerprint
	// Crashes is the number of crashes that count against the call.
	Crashes int
	// RetryAfter is set if the call may run later, because it waits for an isolated run or because
	// it is not yet known whether its targets crashed.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("call %s of account %q is in quarantine after %d crashes", e.Fingerprint, e.Fingerprint.Account, e.Crashes)
}

// PinnedError reports that a copy of the call runs at another target, and that no run of the call is
// known to have completed. This copy must run at that target too and has not been run.
type PinnedError struct {
	Target string
}

// Error names the target.
func (e *PinnedError) Error() string { return fmt.Sprintf("a copy of the call runs at %q", e.Target) }

// TargetDownError reports that connections to the target broke while the call waited for its
// isolated run. The call has not been run, and another target may be tried.
type TargetDownError struct {
	Target string
}

// Error names the target.
func (e *TargetDownError) Error() string { return fmt.Sprintf("connections to %q broke", e.Target) }
