package encoder

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

func objectsToWire(objects registrar.Objects) (wire wireObjects, err error) {
	wire.Accounts = mapSorted(objects.Accounts, accountToWire, func(a wireAccount) string { return a.Name })
	wire.Models = mapSorted(objects.Models, modelToWire, func(m wireModel) string { return m.Name })
	wire.Versions = mapSorted(objects.Versions, versionToWire, func(v wireVersion) string { return v.Name })
	wire.Targets = mapSorted(objects.Targets, targetToWire, func(t wireTarget) string { return t.Name })
	wire.Services = mapSorted(objects.Services, serviceToWire, func(s wireService) string { return s.Name })
	wire.Selectors, err = mapWithPaths("selectors", objects.Selectors, selectorToWire)
	if err != nil {
		return wireObjects{}, err
	}
	sortByName(wire.Selectors, func(s wireSelector) string { return s.Name })
	return wire, nil
}

func objectsFromWire(wire wireObjects) (objects registrar.Objects, err error) {
	if objects.Accounts, err = mapWithPaths("accounts", wire.Accounts, accountFromWire); err != nil {
		return registrar.Objects{}, err
	}
	if objects.Targets, err = mapWithPaths("targets", wire.Targets, targetFromWire); err != nil {
		return registrar.Objects{}, err
	}
	if objects.Services, err = mapWithPaths("services", wire.Services, serviceFromWire); err != nil {
		return registrar.Objects{}, err
	}
	if objects.Selectors, err = mapWithPaths("selectors", wire.Selectors, selectorFromWire); err != nil {
		return registrar.Objects{}, err
	}
	objects.Models = mapAll(wire.Models, modelFromWire)
	objects.Versions = mapAll(wire.Versions, versionFromWire)
	return objects, nil
}

// mapAll converts each element. It returns nil for an empty list.
func mapAll[A, B any](list []A, convert func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	mapped := make([]B, 0, len(list))
	for _, element := range list {
		mapped = append(mapped, convert(element))
	}
	return mapped
}

// mapWithPaths converts each element. The function convert receives the path of the element, such
// as "targets[2]", for use in errors. mapWithPaths returns nil for an empty list.
func mapWithPaths[A, B any](path string, list []A, convert func(string, A) (B, error)) ([]B, error) {
	if len(list) == 0 {
		return nil, nil
	}
	mapped := make([]B, 0, len(list))
	for i, element := range list {
		converted, err := convert(fmt.Sprintf("%s[%d]", path, i), element)
		if err != nil {
			return nil, err
		}
		mapped = append(mapped, converted)
	}
	return mapped, nil
}

// mapSorted converts each element and sorts the results by name.
func mapSorted[A, B any](list []A, convert func(A) B, name func(B) string) []B {
	mapped := mapAll(list, convert)
	sortByName(mapped, name)
	return mapped
}

func sortByName[A any](list []A, name func(A) string) {
	slices.SortStableFunc(list, func(a, b A) int { return cmp.Compare(name(a), name(b)) })
}

func labelsFromWire(wire map[string]string) registrar.Labels {
	if len(wire) == 0 {
		return nil
	}
	return maps.Clone(registrar.Labels(wire))
}

func limitsToWire(limits registrar.Limits) wireLimits {
	return wireLimits{
		RequestsPerSecond: limits.RequestsPerSecond,
		TokensPerSecond:   limits.TokensPerSecond,
		MaxConcurrent:     limits.MaxConcurrent,
		Share:             limits.FairShareWeight,
	}
}

func limitsFromWire(wire wireLimits) registrar.Limits {
	return registrar.Limits{
		RequestsPerSecond: wire.RequestsPerSecond,
		TokensPerSecond:   wire.TokensPerSecond,
		MaxConcurrent:     wire.MaxConcurrent,
		FairShareWeight:   wire.Share,
	}
}

func referencesToWire(references []registrar.Reference) []wireReference {
	wire := mapAll(references, func(r registrar.Reference) wireReference {
		return wireReference{Kind: string(r.Kind), Name: r.Name}
	})
	slices.SortFunc(wire, func(a, b wireReference) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return wire
}

func referencesFromWire(wire []wireReference) []registrar.Reference {
	return mapAll(wire, func(r wireReference) registrar.Reference {
		return registrar.Reference{Kind: registrar.Kind(r.Kind), Name: r.Name}
	})
}

func modelToWire(m registrar.Model) wireModel {
	return wireModel{
		Name:             m.Name,
		Labels:           m.Labels,
		DefaultVersion:   m.DefaultVersion,
		BlockTokens:      m.BlockTokens,
		MaxContextTokens: m.MaxContextTokens,
		Routing:          wireRouting(m.Routing),
	}
}

func modelFromWire(m wireModel) registrar.Model {
	return registrar.Model{
		Name:             m.Name,
		Labels:           labelsFromWire(m.Labels),
		DefaultVersion:   m.DefaultVersion,
		BlockTokens:      m.BlockTokens,
		MaxContextTokens: m.MaxContextTokens,
		Routing:          registrar.RoutingWeights(m.Routing),
	}
}

func versionToWire(v registrar.Version) wireVersion {
	return wireVersion{Name: v.Name, Labels: v.Labels, Model: v.Model, Weights: v.Weights, Adapter: v.Adapter}
}

func versionFromWire(v wireVersion) registrar.Version {
	return registrar.Version{
		Name:    v.Name,
		Labels:  labelsFromWire(v.Labels),
		Model:   v.Model,
		Weights: v.Weights,
		Adapter: v.Adapter,
	}
}
