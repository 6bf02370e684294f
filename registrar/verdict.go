package registrar

// Verdict is the decision whether a request may be sent to a target.
type Verdict struct {
	Target  *Target
	Allowed bool
	// Selector is the name of the selector that decided, or empty if none matched.
	Selector string
	Priority int
}

// Verdicts returns a verdict for each target that serves the model or the service of the
// request, in the order of the configuration. The verdicts are shared between requests and
// must not be modified.
//
// Requests for the same model or service that meet the request requirements of the same selectors,
// which are those not on targets, have the same verdicts. The snapshot keeps them in
// bounded caches, so a request whose verdicts are cached needs no evaluation of selectors.
func (s *Snapshot) Verdicts(request Request) []Verdict {
	return s.matcher.verdicts(request)
}

// requestAttributes contains the name and the labels of each object that a request refers to.
type requestAttributes struct {
	account labeledObject
	model   labeledObject
	version labeledObject
	service labeledObject
}

// labeledObject is one object of a request; exists is false if the request refers to no existing
// object of the kind.
type labeledObject struct {
	name   string
	labels Labels
	exists bool
}

func (s *Snapshot) resolveRequest(request Request) (requested requestAttributes) {
	if object, ok := s.accounts[request.Account]; ok {
		requested.account = labeledObject{object.Name, object.Labels, true}
	}
	if object, ok := s.models[request.Model]; ok {
		requested.model = labeledObject{object.Name, object.Labels, true}
	}
	if object, ok := s.versions[request.Version]; ok {
		requested.version = labeledObject{object.Name, object.Labels, true}
	}
	if object, ok := s.services[request.Service]; ok {
		requested.service = labeledObject{object.Name, object.Labels, true}
	}
	return requested
}

func (r *requestAttributes) byKind(kind Kind) *labeledObject {
	switch kind {
	case KindAccount:
		return &r.account
	case KindModel:
		return &r.model
	case KindVersion:
		return &r.version
	case KindService:
		return &r.service
	}
	return &labeledObject{}
}

// firstUnmet returns the first requirement of the selector that the request or the target does
// not meet, or nil. If target is nil, requirements on targets are ignored.
func (r *requestAttributes) firstUnmet(selector *Selector, target *Target) *Requirement {
	for i := range selector.Match {
		requirement := &selector.Match[i]
		if requirement.Kind == KindTarget {
			if target != nil && !requirement.Matches(target.Name, target.Labels) {
				return requirement
			}
			continue
		}
		object := r.byKind(requirement.Kind)
		if !object.exists || !requirement.Matches(object.name, object.labels) {
			return requirement
		}
	}
	return nil
}
