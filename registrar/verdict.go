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
// Requests that meet the same selectors have the same verdicts. The snapshot keeps them in
// bounded caches, so a request whose verdicts are cached needs no evaluation of selectors.
func (s *Snapshot) Verdicts(request Request) []Verdict {
	return s.matcher.verdicts(request)
}

// requestObjects contains the name and the labels of each object that a request refers to.
type requestObjects struct {
	account requestObject
	model   requestObject
	version requestObject
	service requestObject
}

// requestObject is one object of a request; exists is false if the request refers to no existing
// object of the kind.
type requestObject struct {
	name   string
	labels Labels
	exists bool
}

func (s *Snapshot) requestObjects(request Request) (requested requestObjects) {
	if object, ok := s.accounts[request.Account]; ok {
		requested.account = requestObject{object.Name, object.Labels, true}
	}
	if object, ok := s.models[request.Model]; ok {
		requested.model = requestObject{object.Name, object.Labels, true}
	}
	if object, ok := s.versions[request.Version]; ok {
		requested.version = requestObject{object.Name, object.Labels, true}
	}
	if object, ok := s.services[request.Service]; ok {
		requested.service = requestObject{object.Name, object.Labels, true}
	}
	return requested
}

func (r *requestObjects) byKind(kind Kind) *requestObject {
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
	return &requestObject{}
}

// firstUnmet returns the first requirement of the selector that the request or the target does
// not meet, or nil. If target is nil, requirements on targets are ignored.
func (r *requestObjects) firstUnmet(selector *Selector, target *Target) *Requirement {
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
