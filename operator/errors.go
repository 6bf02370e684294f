package operator

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// Overlap is an object that a concurrent change modified.
type Overlap struct {
	Reference registrar.Reference
	Revision  registrar.Revision
	Author    string
}

// ConflictError reports that concurrent changes modified the same objects, or that the base
// revision is no longer known. The change did not take effect.
type ConflictError struct {
	Current  registrar.Revision
	Overlaps []Overlap
	Message  string
}

// Error lists the objects with the authors and revisions of the concurrent changes.
func (e *ConflictError) Error() string {
	if len(e.Overlaps) == 0 {
		return e.Message
	}
	var parts []string
	for _, o := range e.Overlaps {
		parts = append(parts, fmt.Sprintf("%s %q was changed by %q in revision %d", o.Reference.Kind, o.Reference.Name, o.Author, o.Revision))
	}
	return strings.Join(parts, "; ")
}

// InvalidError reports that the change would make the configuration invalid. The change did not
// take effect.
type InvalidError struct {
	Violations []registrar.Violation
	Message    string
}

// Error lists the violations, one on each line.
func (e *InvalidError) Error() string {
	if len(e.Violations) == 0 {
		return e.Message
	}
	return (&registrar.InvalidError{Violations: e.Violations}).Error()
}

// NotAppliedError reports that the daemon could not commit, for example during an outage of the
// platform. The change did not take effect.
type NotAppliedError struct {
	Message string
}

// Error describes the cause.
func (e *NotAppliedError) Error() string {
	return "the change did not take effect: " + e.Message
}

// UnsettledError reports that the outcome of a change is unknown, for example because the answer
// was lost. The change may come into force.
type UnsettledError struct {
	Message string
}

// Error describes the cause.
func (e *UnsettledError) Error() string {
	return "the change may come into force: " + e.Message
}

// UnknownObjectError reports that a request names an object that is not in force.
type UnknownObjectError struct {
	Reference registrar.Reference
}

// Error names the object.
func (e *UnknownObjectError) Error() string {
	return fmt.Sprintf("no %s %q is in force", e.Reference.Kind, e.Reference.Name)
}

// Attempt is a failed call to one daemon.
type Attempt struct {
	Daemon netip.AddrPort
	Reason string
}

// UnreachableError reports that the call failed on every daemon.
type UnreachableError struct {
	Attempts []Attempt
}

// Error lists the daemons with the reasons of their failures.
func (e *UnreachableError) Error() string {
	var parts []string
	for _, attempt := range e.Attempts {
		parts = append(parts, fmt.Sprintf("%s: %s", attempt.Daemon, attempt.Reason))
	}
	return "no daemon took the call: " + strings.Join(parts, "; ")
}

// EncryptedPortError reports that the operators' port of a daemon speaks TLS and the call did not, so that it was not run.
type EncryptedPortError struct {
	Daemon netip.AddrPort
}

// Error names the daemon and what is needed.
func (e *EncryptedPortError) Error() string {
	return fmt.Sprintf("%s speaks TLS; the certificate of the authority that signed its certificate is needed (--authority)", e.Daemon)
}

// UnauthenticatedError reports that a daemon rejected the operators' token.
type UnauthenticatedError struct {
	Daemon netip.AddrPort
}

// Error names the daemon.
func (e *UnauthenticatedError) Error() string {
	return fmt.Sprintf("%s refused the operators' token", e.Daemon)
}
