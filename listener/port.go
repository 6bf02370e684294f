package listener

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// The ports of FreeAddress lie below the ephemeral range, so that no outgoing connection and no listener on port zero, of this process or
// another, gets one before its user listens on it.
const (
	firstPort = 15_000
	portCount = 15_000
	// portsPerProcess spreads the ports that processes try first.
	portsPerProcess = 101
)

// portsTried counts the ports that FreeAddress has tried.
var portsTried atomic.Uint32

var errNoFreePort = errors.New("no port is free")

// FreeAddress returns a loopback address on which nobody listens. It returns each address once.
func FreeAddress() (address netip.AddrPort, err error) {
	defer Error.WrapP(&err)
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*portsPerProcess+portsTried.Add(1))%portCount
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		socket, err := net.Listen("tcp", address.String())
		if err != nil {
			continue // Another process uses the port.
		}
		return address, socket.Close()
	}
	return netip.AddrPort{}, errNoFreePort
}
