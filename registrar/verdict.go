package registrar

// Verdict tells whether a request may be sent to a target and which selector decided.
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
// Requests that meet the same selectors have the same verdicts, which bounded caches hold for
// the lifetime of the snapshot. A repeated request needs no evaluation of selectors.
func (s *Snapshot) Verdicts(request Request) []Verdict {
	return s.matcher.verdicts(request)
}

// requestObjects holds the name and the labels of each object that a request refers to.
type requestObjects struct {
	account requestObject
	model   requestObject
	version requestObject
	service requestObject
}

// requestObject is one object of a request; ok is false if the request refers to no existing
// object of the kind.
type requestObject struct {
	name   string
	labels Labels
	ok     bool
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

func (r *requestObjects) ofKind(kind Kind) *requestObject {
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

// unmet returns the first requirement that the request or the target does not meet, or nil.
// If target is nil, requirements on targets are ignored.
func (r *requestObjects) unmet(selector *Selector, target *Target) *Requirement {
	for i := range selector.Match {
		requirement := &selector.Match[i]
		if requirement.Kind == KindTarget {
			if target != nil && !requirement.Matches(target.Name, target.Labels) {
				return requirement
			}
			continue
		}
		object := r.ofKind(requirement.Kind)
		if !object.ok || !requirement.Matches(object.name, object.labels) {
			return requirement
		}
	}
	return nil
}
