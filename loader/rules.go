package loader

import (
	"net/netip"
	"strconv"

	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// checkAndDerive checks the rules that reading the single fields does not check, and sets
// PeersAdvertise, which defaults to PeersListen.
func checkAndDerive(document *locator.Document, s *Settings) {
	const expectedName = `a name of letters, digits and "._-" that starts with a letter or a digit`
	if s.Name != "" && !registrar.IsKeyName(s.Name) {
		document.Fail("name", strconv.Quote(s.Name), expectedName)
	}
	if !registrar.IsKeyName(s.DataCentre) {
		document.Fail("data_centre", strconv.Quote(s.DataCentre), expectedName)
	}
	if len(s.Platform) == 0 {
		document.Fail("platform", "no address", "at least one address of the platform's key-value service")
	}
	checkListeners(document, s)
	deriveAdvertised(document, s)
	checkTLSFiles(document, s)
	checkOperatorsToken(document, s)
}

func checkListeners(document *locator.Document, s *Settings) {
	listeners := []struct {
		name    string
		address netip.AddrPort
	}{
		{"callers_listen", s.CallersListen},
		{"peers_listen", s.PeersListen},
		{"operators_listen", s.OperatorsListen},
	}
	nameByPort := make(map[uint16]string)
	for _, listener := range listeners {
		port := listener.address.Port()
		// Port 0 lets the operating system choose a free port.
		if port == 0 {
			continue
		}
		if otherName, found := nameByPort[port]; found {
			document.Fail(listener.name, "the port of "+otherName, "a port of its own")
		}
		nameByPort[port] = listener.name
	}
}

// deriveAdvertised sets PeersAdvertise to PeersListen if it is not given, and reports a fault if
// other daemons could not connect to the result.
func deriveAdvertised(document *locator.Document, s *Settings) {
	if !s.PeersAdvertise.IsValid() && !s.PeersListen.Addr().IsUnspecified() {
		s.PeersAdvertise = s.PeersListen
		return
	}
	if !s.PeersAdvertise.IsValid() || s.PeersAdvertise.Addr().IsUnspecified() {
		document.Fail("peers_advertise", "no address that others can reach", "an IP address other than 0.0.0.0 and [::], which is required if peers_listen is one of these")
	}
}

func checkTLSFiles(document *locator.Document, s *Settings) {
	t := &s.TLS
	checkPair(document, "tls.callers_certificate_file", t.CallersCertificateFile, "tls.callers_key_file", t.CallersKeyFile)
	checkPair(document, "tls.peers_certificate_file", t.PeersCertificateFile, "tls.peers_key_file", t.PeersKeyFile)
	checkPair(document, "tls.peers_certificate_file", t.PeersCertificateFile, "tls.authority_file", t.AuthorityFile)
}

// checkPair reports a fault if only one of two settings is given.
func checkPair(document *locator.Document, firstName, first, secondName, second string) {
	if first != "" && second == "" {
		document.Fail(firstName, "it without "+secondName, "both or neither")
	}
	if first == "" && second != "" {
		document.Fail(secondName, "it without "+firstName, "both or neither")
	}
}

// checkOperatorsToken requires a token on an operators' port that other hosts can reach.
func checkOperatorsToken(document *locator.Document, s *Settings) {
	needsToken := !s.OperatorsListen.Addr().IsLoopback()
	if needsToken && s.OperatorsTokenDigest == (registrar.KeyDigest{}) {
		document.Fail("operators_listen", s.OperatorsListen.String(), "a loopback address, or operators_token_digest to be given")
	}
}
