package engineemulator

import "net/netip"

// Start listens on the address and serves until Close or a crash. Port zero picks a free port.
func (e *Engine) Start(address netip.AddrPort) (err error) {
	defer Error.WrapP(&err)
	return e.listener.Start(e, address)
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() netip.AddrPort {
	return e.listener.Address()
}
