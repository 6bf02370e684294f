// Package classifier tells what the status of an HTTP response means for whoever waits for the answer to a request.
//
// A target in trouble may send three digits that are no status. They are no answer, and whatever follows them on the connection
// belongs to no request.
//
// # Usage
//
//	switch classifier.Classify(status) {
//	case classifier.Informational:
//		// The answer is still to come.
//	case classifier.Final:
//		// This is the answer.
//	default:
//		// This is no answer, and none will come.
//	}
package classifier

import "net/http"

// Class is the meaning of a status.
type Class int

// The classes of statuses.
const (
	// None is for numbers that are no status (RFC 9110, section 15), and for a change of the protocol, which no request asks for.
	None Class = iota
	// Informational is for responses before the answer.
	Informational
	// Final is for answers.
	Final
)

const (
	firstStatus = 100
	lastStatus  = 599
)

// Classify returns the class of a status.
func Classify(status int) Class {
	switch {
	case status < firstStatus, status > lastStatus, status == http.StatusSwitchingProtocols:
		return None
	case status < http.StatusOK:
		return Informational
	}
	return Final
}
