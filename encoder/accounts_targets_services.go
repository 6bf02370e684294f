package encoder

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const digestPrefix = "sha256:"

// FormatDigest returns the digest as "sha256:" and 64 hexadecimal digits.
func FormatDigest(digest registrar.KeyDigest) string {
	return digestPrefix + hex.EncodeToString(digest[:])
}

// ParseDigest parses the output of FormatDigest; ok is false if the text has another form.
func ParseDigest(text string) (digest registrar.KeyDigest, ok bool) {
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(digest)) {
		return registrar.KeyDigest{}, false
	}
	if _, err := hex.Decode(digest[:], []byte(digits)); err != nil {
		return registrar.KeyDigest{}, false
	}
	return digest, true
}

func accountToWire(a registrar.Account) wireAccount {
	digests := mapAll(a.KeyDigests, FormatDigest)
	slices.Sort(digests)
	return wireAccount{Name: a.Name, Labels: a.Labels, KeyDigests: digests, Limits: limitsToWire(a.Limits)}
}

func accountFromWire(path string, a wireAccount) (account registrar.Account, err error) {
	digests, err := mapWithPaths(path+".key_digests", a.KeyDigests, digestFromWire)
	if err != nil {
		return registrar.Account{}, err
	}
	account = registrar.Account{
		Name:       a.Name,
		Labels:     labelsFromWire(a.Labels),
		KeyDigests: digests,
		Limits:     limitsFromWire(a.Limits),
	}
	return account, nil
}

func digestFromWire(path, text string) (digest registrar.KeyDigest, err error) {
	digest, ok := ParseDigest(text)
	if !ok {
		return registrar.KeyDigest{}, &MalformedValueError{Path: path, Value: text, Expected: `"sha256:" and 64 hexadecimal digits`}
	}
	return digest, nil
}

func targetToWire(t registrar.Target) wireTarget {
	wire := wireTarget{
		Name:          t.Name,
		Labels:        t.Labels,
		Kind:          string(t.Kind),
		DataCentre:    t.DataCentre,
		Model:         t.Model,
		Service:       t.Service,
		ChecksFencing: t.ChecksFencing,
		Slots:         t.Slots,
	}
	if t.Address.IsValid() {
		wire.Address = t.Address.String()
	}
	return wire
}

func targetFromWire(path string, t wireTarget) (target registrar.Target, err error) {
	target = registrar.Target{
		Name:          t.Name,
		Labels:        labelsFromWire(t.Labels),
		Kind:          registrar.TargetKind(t.Kind),
		DataCentre:    t.DataCentre,
		Model:         t.Model,
		Service:       t.Service,
		ChecksFencing: t.ChecksFencing,
		Slots:         t.Slots,
	}
	if t.Address == "" {
		return target, nil
	}
	target.Address, err = netip.ParseAddrPort(t.Address)
	if err != nil {
		return registrar.Target{}, &MalformedValueError{Path: path + ".address", Value: t.Address, Expected: "an IP address and port"}
	}
	return target, nil
}

func serviceToWire(s registrar.Service) wireService {
	operations := mapSorted(s.Operations, operationToWire, func(o wireOperation) string { return o.Name })
	return wireService{Name: s.Name, Labels: s.Labels, Operations: operations, LookupPath: s.LookupPath}
}

func operationToWire(o registrar.Operation) wireOperation {
	wire := wireOperation{Name: o.Name, Method: o.Method, Path: o.Path, Idempotent: o.Idempotent}
	if o.Timeout != 0 {
		wire.Timeout = o.Timeout.String()
	}
	return wire
}

func serviceFromWire(path string, s wireService) (service registrar.Service, err error) {
	operations, err := mapWithPaths(path+".operations", s.Operations, operationFromWire)
	if err != nil {
		return registrar.Service{}, err
	}
	service = registrar.Service{
		Name:       s.Name,
		Labels:     labelsFromWire(s.Labels),
		Operations: operations,
		LookupPath: s.LookupPath,
	}
	return service, nil
}

func operationFromWire(path string, o wireOperation) (operation registrar.Operation, err error) {
	operation = registrar.Operation{Name: o.Name, Method: o.Method, Path: o.Path, Idempotent: o.Idempotent}
	if o.Timeout == "" {
		return operation, nil
	}
	operation.Timeout, err = time.ParseDuration(o.Timeout)
	if err != nil {
		return registrar.Operation{}, &MalformedValueError{Path: path + ".timeout", Value: o.Timeout, Expected: `a duration such as "5s"`}
	}
	return operation, nil
}
