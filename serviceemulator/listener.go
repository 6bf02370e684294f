package serviceemulator

import "net/netip"

// Start listens on the address and serves until Close or a crash. Port zero picks a free port.
func (s *Service) Start(address netip.AddrPort) (err error) {
	defer Error.WrapP(&err)
	return s.listener.Start(s, address)
}

// Address returns the address that the service listens on.
func (s *Service) Address() netip.AddrPort {
	return s.listener.Address()
}
