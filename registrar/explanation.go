package registrar

// SelectorFact reports whether a selector matched.
type SelectorFact struct {
	Selector *Selector
	// Unmet is the first requirement that was not met, or nil if the selector matched.
	Unmet *Requirement
}

// Matched reports whether all requirements of the selector were met.
func (f SelectorFact) Matched() bool { return f.Unmet == nil }

// TargetExplanation is the verdict on a request and a target, with the result of every selector that
// explains it.
type TargetExplanation struct {
	Verdict Verdict
	// Selectors contains the result of every selector, in order of precedence.
	Selectors []SelectorFact
}

// Explain returns the verdicts of Verdicts, each with the result of every selector. It evaluates
// every selector for every target and is meant for operators, not for the request path.
func (s *Snapshot) Explain(request Request) []TargetExplanation {
	var explanations []TargetExplanation
	requested := s.resolveRequest(request)
	for _, verdict := range s.Verdicts(request) {
		explanations = append(explanations, TargetExplanation{
			Verdict:   verdict,
			Selectors: s.explainTarget(&requested, verdict.Target),
		})
	}
	return explanations
}

func (s *Snapshot) explainTarget(requested *requestAttributes, target *Target) []SelectorFact {
	facts := make([]SelectorFact, 0, len(s.matcher.selectors))
	for _, selector := range s.matcher.selectors {
		fact := SelectorFact{Selector: selector, Unmet: requested.firstUnmet(selector, target)}
		facts = append(facts, fact)
	}
	return facts
}
