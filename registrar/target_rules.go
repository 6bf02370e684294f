package registrar

import (
	"net/netip"
	"strconv"
)

func (v *validator) checkTargets() {
	targetNames := newNameChecker(keyNamePunctuation, expectedKeyName, len(v.objects.Targets))
	addresses := make(map[netip.AddrPort]string)
	for i := range v.objects.Targets {
		target := &v.objects.Targets[i]
		s := checkedObject{validator: v, kind: KindTarget, index: i, name: target.Name}
		targetNames.check(s, "name", target.Name)
		s.checkAddress(target.Address, addresses)
		if !IsKeyName(target.DataCentre) {
			s.report("data_centre", strconv.Quote(target.DataCentre), "the name of a data centre")
		}
		s.checkNonNegative("slots", float64(target.Slots))
		s.checkTargetKind(target)
	}
}

func (s checkedObject) checkAddress(address netip.AddrPort, addresses map[netip.AddrPort]string) {
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		s.report("address", address.String(), "an IP address and a port")
		return
	}
	if other, duplicate := addresses[address]; duplicate {
		s.report("address", "the address of the target "+strconv.Quote(other), "an address that no target has")
		return
	}
	addresses[address] = s.name
}

func (s checkedObject) checkTargetKind(target *Target) {
	switch target.Kind {
	case TargetEngine:
		if !s.validator.index.models[target.Model] {
			s.report("model", strconv.Quote(target.Model), "the name of a model")
		}
		if target.Slots == 0 {
			s.report("slots", "0", "a positive number of requests")
		}
	case TargetService:
		if !s.validator.index.services[target.Service] {
			s.report("service", strconv.Quote(target.Service), "the name of a service")
		}
	case TargetCache:
	default:
		s.report("kind", strconv.Quote(string(target.Kind)), `"engine", "service" or "cache"`)
	}
	if target.Model != "" && target.Kind == TargetService {
		s.report("model", strconv.Quote(target.Model), "no model on a service target")
	}
	if target.Service != "" && target.Kind != TargetService {
		s.report("service", strconv.Quote(target.Service), "a service on service targets only")
	}
}
