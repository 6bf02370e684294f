package registrar

import (
	"fmt"
	"strconv"
)

const expectedMatch = "requirements that some object of the configuration meets"

// nameIndex contains the names of the objects to which other objects refer.
type nameIndex struct {
	models   map[string]bool
	services map[string]bool
	// modelOfVersion maps the name of each version to that of its model.
	modelOfVersion map[string]string
}

func newNameIndex(objects Objects) nameIndex {
	index := nameIndex{
		models:         make(map[string]bool),
		services:       make(map[string]bool),
		modelOfVersion: make(map[string]string),
	}
	for i := range objects.Models {
		index.models[objects.Models[i].Name] = true
	}
	for i := range objects.Services {
		index.services[objects.Services[i].Name] = true
	}
	for i := range objects.Versions {
		index.modelOfVersion[objects.Versions[i].Name] = objects.Versions[i].Model
	}
	return index
}

func (n nameIndex) hasVersion(version, model string) bool {
	owner, known := n.modelOfVersion[version]
	return known && owner == model
}

func (v *validator) checkSelectors() {
	selectorNames := newNameChecker(namePunctuation, expectedName, len(v.objects.Selectors))
	for i := range v.objects.Selectors {
		selector := &v.objects.Selectors[i]
		s := checkedObject{validator: v, kind: KindSelector, index: i, name: selector.Name}
		selectorNames.check(s, "name", selector.Name)
		if selector.Effect != EffectAllow && selector.Effect != EffectDeny {
			s.report("effect", strconv.Quote(string(selector.Effect)), `"allow" or "deny"`)
		}
		if selector.Effect == EffectDeny && selector.Limits != (Limits{}) {
			s.report("limits", "limits on a denial", "limits on selectors that allow only")
		}
		s.checkLimits(selector.Limits)
		if s.checkMatch(selector.Match) {
			s.checkSatisfiable(selector)
		}
	}
}

// checkMatch reports whether all requirements are well formed.
func (s checkedObject) checkMatch(match []Requirement) bool {
	before := len(s.validator.violations)
	for i, requirement := range match {
		field := fmt.Sprintf("match[%d]", i)
		switch requirement.Kind {
		case KindAccount, KindModel, KindVersion, KindService, KindTarget:
		default:
			s.report(field+".on", strconv.Quote(string(requirement.Kind)), "account, model, version, service or target")
		}
		if requirement.Key == "" {
			s.report(field+".key", `""`, "the key of a label, or name")
		}
		s.checkOperator(field, requirement)
	}
	return len(s.validator.violations) == before
}

func (s checkedObject) checkOperator(field string, requirement Requirement) {
	count := len(requirement.Values)
	switch requirement.Operator {
	case OperatorEquals:
		if count != 1 {
			s.report(field+".equals", fmt.Sprintf("%d values", count), "one value")
		}
	case OperatorIn, OperatorNotIn:
		if count == 0 {
			s.report(field+"."+string(requirement.Operator), "no values", "at least one value")
		}
	case OperatorExists:
	default:
		s.report(field, strconv.Quote(string(requirement.Operator)), "exactly one of equals, in, not_in and exists")
	}
}

// checkSatisfiable adds a violation if no request to a target of the configuration can meet
// the selector.
func (s checkedObject) checkSatisfiable(selector *Selector) {
	firstIndex := make(map[Kind]int)
	for i, requirement := range selector.Match {
		if _, known := firstIndex[requirement.Kind]; !known {
			firstIndex[requirement.Kind] = i
		}
	}
	if _, hasService := firstIndex[KindService]; hasService {
		for _, kind := range []Kind{KindModel, KindVersion} {
			if i, given := firstIndex[kind]; given {
				s.report(fmt.Sprintf("match[%d]", i), fmt.Sprintf("a %s beside a service", kind), "one or the other, as a request has one of them")
				return
			}
		}
	}
	satisfiable := true
	for _, kind := range []Kind{KindAccount, KindModel, KindVersion, KindService, KindTarget} {
		i, given := firstIndex[kind]
		if given && !s.validator.anyObjectMeets(selector, kind) {
			s.report(fmt.Sprintf("match[%d]", i), fmt.Sprintf("no %s that meets the requirements", kind), expectedMatch)
			satisfiable = false
		}
	}
	if i, given := firstIndex[KindTarget]; given && satisfiable && !s.validator.anyTargetServes(selector) {
		s.report(fmt.Sprintf("match[%d]", i), "no target that meets them and serves a model or a service that does", expectedMatch)
	}
}

// anyObjectMeets reports whether an object of the kind meets all requirements on the kind.
func (v *validator) anyObjectMeets(selector *Selector, kind Kind) bool {
	switch kind {
	case KindAccount:
		return anyObject(v.objects.Accounts, func(a *Account) bool { return meets(selector, kind, a.Name, a.Labels) })
	case KindModel:
		return anyObject(v.objects.Models, func(m *Model) bool { return meets(selector, kind, m.Name, m.Labels) })
	case KindVersion:
		return anyObject(v.objects.Versions, func(o *Version) bool { return meets(selector, kind, o.Name, o.Labels) })
	case KindService:
		return anyObject(v.objects.Services, func(o *Service) bool { return meets(selector, kind, o.Name, o.Labels) })
	case KindTarget:
		return anyObject(v.objects.Targets, func(t *Target) bool { return meets(selector, kind, t.Name, t.Labels) })
	}
	return false
}

// anyTargetServes reports whether a target that meets the selector serves a model or a
// service that also meets it.
func (v *validator) anyTargetServes(selector *Selector) bool {
	models, services := v.matchedDestinations(selector)
	return anyObject(v.objects.Targets, func(t *Target) bool {
		if !meets(selector, KindTarget, t.Name, t.Labels) {
			return false
		}
		if t.Kind == TargetService {
			return services[t.Service]
		}
		return t.Kind == TargetEngine && models[t.Model]
	})
}

// matchedDestinations returns the models and the services that meet the selector.
func (v *validator) matchedDestinations(selector *Selector) (models, services map[string]bool) {
	models = make(map[string]bool)
	services = make(map[string]bool)
	if !hasRequirementOn(selector, KindService) {
		for i := range v.objects.Models {
			model := &v.objects.Models[i]
			models[model.Name] = meets(selector, KindModel, model.Name, model.Labels) && v.anyVersionMeets(selector, model.Name)
		}
	}
	if !hasRequirementOn(selector, KindModel) && !hasRequirementOn(selector, KindVersion) {
		for i := range v.objects.Services {
			service := &v.objects.Services[i]
			services[service.Name] = meets(selector, KindService, service.Name, service.Labels)
		}
	}
	return models, services
}

// anyVersionMeets reports whether a version of the model meets the selector. It is true if the
// selector has no requirements on versions.
func (v *validator) anyVersionMeets(selector *Selector, model string) bool {
	if !hasRequirementOn(selector, KindVersion) {
		return true
	}
	return anyObject(v.objects.Versions, func(o *Version) bool {
		return o.Model == model && meets(selector, KindVersion, o.Name, o.Labels)
	})
}

func hasRequirementOn(selector *Selector, kind Kind) bool {
	return anyObject(selector.Match, func(r *Requirement) bool { return r.Kind == kind })
}

// meets reports whether the object meets all requirements on its kind.
func meets(selector *Selector, kind Kind, name string, labels Labels) bool {
	for i := range selector.Match {
		requirement := &selector.Match[i]
		if requirement.Kind == kind && !requirement.Matches(name, labels) {
			return false
		}
	}
	return true
}

func anyObject[T any](objects []T, predicate func(*T) bool) bool {
	for i := range objects {
		if predicate(&objects[i]) {
			return true
		}
	}
	return false
}
