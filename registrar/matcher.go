package registrar

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"unique"
)

const (
	// maxCachedRequests is the maximum number of requests whose selectorSet is cached.
	maxCachedRequests = 32768
	// maxCachedVerdicts is the maximum total number of verdicts in the cached lists.
	maxCachedVerdicts = 1 << 17
	// selectorIndexBytes is the encoded size of the index of a selector in a selectorSet.
	selectorIndexBytes = 4
)

// matcher evaluates the selectors of a snapshot. The request requirements of a selector are
// those on the account, model, version or service of a request; the others are on the target.
// Requests that meet the request requirements of the same selectors, and that name the same
// model or service, have the same verdicts. These are cached by the set of selectors and the
// destination.
type matcher struct {
	snapshot *Snapshot
	// selectors holds the selectors in order of precedence.
	selectors []*Selector
	// matchedTargets contains, for each element of selectors, the targets that meet its
	// requirements on targets.
	matchedTargets []targetSet
	// targetsByDestination maps a destination to the targets that serve it, as indexes into the
	// targets of the configuration.
	targetsByDestination map[destination][]int

	selectorSets *boundedCache[Request, selectorSet]
	verdictLists *boundedCache[verdictKey, []Verdict]
}

// destination is the model or the service of a request; the other field is empty.
type destination struct {
	model   string
	service string
}

// selectorSet contains the encoded indexes of the selectors whose request requirements a request
// meets. Equal sets share their memory, since most accounts have the same set as many others.
type selectorSet = unique.Handle[string]

// verdictKey identifies a cached list of verdicts.
type verdictKey struct {
	selectors   selectorSet
	destination destination
}

// targetSet is a bit set with one bit for each target of the configuration.
type targetSet []uint64

const targetsPerWord = 64

func (t targetSet) add(i int)           { t[i/targetsPerWord] |= 1 << (i % targetsPerWord) }
func (t targetSet) contains(i int) bool { return t[i/targetsPerWord]&(1<<(i%targetsPerWord)) != 0 }

func (t targetSet) intersect(other targetSet) {
	for i := range t {
		t[i] &= other[i]
	}
}

func newMatcher(s *Snapshot) *matcher {
	m := &matcher{
		snapshot:             s,
		targetsByDestination: make(map[destination][]int),
		selectorSets:         newBoundedCache[Request, selectorSet](maxCachedRequests),
		verdictLists:         newBoundedCache[verdictKey, []Verdict](maxCachedVerdicts),
	}
	for i := range s.objects.Selectors {
		m.selectors = append(m.selectors, &s.objects.Selectors[i])
	}
	slices.SortStableFunc(m.selectors, compareSelectors)
	for i := range s.objects.Targets {
		target := &s.objects.Targets[i]
		served := destination{model: target.Model, service: target.Service}
		switch target.Kind {
		case TargetEngine:
			served.service = ""
		case TargetService:
			served.model = ""
		default:
			continue
		}
		m.targetsByDestination[served] = append(m.targetsByDestination[served], i)
	}
	m.matchTargets()
	return m
}

// compareSelectors orders selectors by descending priority; among equal priorities, those
// that deny come before those that allow.
func compareSelectors(a, b *Selector) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		-cmp.Compare(a.Effect, b.Effect),
		cmp.Compare(a.Name, b.Name),
	)
}

// matchTargets fills matchedTargets. Many selectors have equal requirements on targets, so each
// distinct requirement is evaluated only once.
func (m *matcher) matchTargets() {
	targetsByRequirement := make(map[string]targetSet)
	for _, selector := range m.selectors {
		set := m.allTargets()
		for i := range selector.Match {
			requirement := &selector.Match[i]
			if requirement.Kind != KindTarget {
				continue
			}
			key := fmt.Sprintf("%s %q %q", requirement.Operator, requirement.Key, requirement.Values)
			if _, known := targetsByRequirement[key]; !known {
				targetsByRequirement[key] = m.targetsMeeting(requirement)
			}
			set.intersect(targetsByRequirement[key])
		}
		m.matchedTargets = append(m.matchedTargets, set)
	}
}

func (m *matcher) allTargets() targetSet {
	targets := len(m.snapshot.objects.Targets)
	set := make(targetSet, (targets+targetsPerWord-1)/targetsPerWord)
	for i := range targets {
		set.add(i)
	}
	return set
}

func (m *matcher) targetsMeeting(requirement *Requirement) targetSet {
	targets := m.snapshot.objects.Targets
	set := make(targetSet, (len(targets)+targetsPerWord-1)/targetsPerWord)
	for i := range targets {
		if requirement.Matches(targets[i].Name, targets[i].Labels) {
			set.add(i)
		}
	}
	return set
}

func (m *matcher) verdicts(request Request) []Verdict {
	matched, ok := m.selectorSets.get(request)
	if !ok {
		matched = m.matchRequest(request)
		m.selectorSets.put(request, matched, 1)
	}
	requested := destination{model: request.Model}
	if request.Service != "" {
		requested = destination{service: request.Service}
	}
	key := verdictKey{selectors: matched, destination: requested}
	verdicts, ok := m.verdictLists.get(key)
	if !ok {
		verdicts = m.evaluateTargets(matched.Value(), requested)
		m.verdictLists.put(key, verdicts, max(1, len(verdicts)))
	}
	return verdicts
}

// matchRequest returns the indexes of the selectors whose request requirements are met, each
// encoded in selectorIndexBytes bytes.
func (m *matcher) matchRequest(request Request) selectorSet {
	var encoded []byte
	requested := m.snapshot.resolveRequest(request)
	for i, selector := range m.selectors {
		if requested.firstUnmet(selector, nil) == nil {
			encoded = binary.BigEndian.AppendUint32(encoded, uint32(i))
		}
	}
	return unique.Make(string(encoded))
}

func (m *matcher) evaluateTargets(matched string, requested destination) []Verdict {
	targets := m.targetsByDestination[requested]
	if len(targets) == 0 {
		return nil
	}
	indexes := make([]int, 0, len(matched)/selectorIndexBytes)
	for i := 0; i < len(matched); i += selectorIndexBytes {
		indexes = append(indexes, int(binary.BigEndian.Uint32([]byte(matched[i:i+selectorIndexBytes]))))
	}
	verdicts := make([]Verdict, 0, len(targets))
	for _, target := range targets {
		verdicts = append(verdicts, m.evaluateTarget(indexes, target))
	}
	return verdicts
}

// evaluateTarget returns the verdict of the first selector in indexes that matches the target,
// or a denial if none does.
func (m *matcher) evaluateTarget(indexes []int, target int) Verdict {
	verdict := Verdict{Target: &m.snapshot.objects.Targets[target]}
	for _, index := range indexes {
		if !m.matchedTargets[index].contains(target) {
			continue
		}
		selector := m.selectors[index]
		verdict.Selector = selector.Name
		verdict.Priority = selector.Priority
		verdict.Allowed = selector.Effect == EffectAllow
		return verdict
	}
	return verdict
}
