package reserver

import "golang.org/x/sys/unix"

const (
	// assumedDescriptors is the descriptor limit where the system tells none.
	assumedDescriptors = 1024
	// callersRatio, peersRatio and internalRatio are the parts of the descriptor limit for connections to the ports for callers, for other
	// daemons and for each other port. The rest is for targets, the store and files.
	callersRatio  = 1.0 / 2
	peersRatio    = 1.0 / 8
	internalRatio = 1.0 / 32
	minInternal   = 8
	// connectionBytes is what an open connection needs between requests, encryptedBytes the same for TLS and HTTP/2, and connectionsRatio the
	// part of the process memory for these.
	connectionBytes  = 32 << 10
	encryptedBytes   = 80 << 10
	connectionsRatio = 1.0 / 4
	minCallers       = 64
)

// Connections bound the connections to the ports of a daemon.
type Connections struct {
	Callers, Peers int
	// Internal is for each port that is for neither.
	Internal int
}

// NewConnections returns the bounds for a process with a number of bytes of memory and the descriptor limit of this one, whose callers'
// connections are encrypted or not.
func NewConnections(memoryBytes float64, encrypted bool) Connections {
	descriptors := float64(assumedDescriptors)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur > 0 {
		descriptors = min(float64(limit.Cur), 1<<20)
	}
	byMemory := max(connectionsRatio*memoryBytes/connectionBytes, minCallers)
	callersByMemory := byMemory
	if encrypted {
		callersByMemory = max(connectionsRatio*memoryBytes/encryptedBytes, minCallers)
	}
	return Connections{
		Callers:  int(min(callersRatio*descriptors, callersByMemory)),
		Peers:    int(min(peersRatio*descriptors, byMemory)),
		Internal: max(int(min(internalRatio*descriptors, byMemory)), minInternal),
	}
}

const (
	// ownBytes is what a daemon needs without requests, as measured with many idle connections, and requestsRatio the part of the rest that
	// requests may hold. The remainder is garbage that is not collected yet, and connections.
	ownBytes      = 40e6
	requestsRatio = 0.5
	minRequests   = 8e6
)

// RequestBytes returns how much of the memory of a process is for requests.
func RequestBytes(memoryBytes float64) int {
	return int(max(requestsRatio*(memoryBytes-ownBytes), minRequests))
}
