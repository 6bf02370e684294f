package placer

// heldByTarget reports whether the candidate holds a part of the prompt, or can fetch some from another target. What it can fetch
// from the only store counts too.
func (p *Placer) heldByTarget(c candidate, call Call) bool {
	if c.fetchStore != nil && len(p.stores) > 1 {
		return c.prefillTokens+c.fetchedTokens < call.PromptTokens
	}
	return c.fetchedTokens > 0 || c.prefillTokens < call.PromptTokens
}

// homeDataCentre returns the data centre in which the home of the prompt should be, since its transfers to and from the store that
// keeps the prompt take half the time there and cross no link between data centres. It is empty if there are not several stores.
func (p *Placer) homeDataCentre(call Call) string {
	if len(p.stores) < 2 {
		return ""
	}
	if store := p.stores.home(call, p.settings.Now()); store != nil {
		return store.DataCentre
	}
	return ""
}

// compareLocal orders a target in the data centre after one in another.
func compareLocal(a, b *target, dataCentre string) int {
	localA, localB := a.DataCentre == dataCentre, b.DataCentre == dataCentre
	switch {
	case localA == localB:
		return 0
	case localA:
		return 1
	}
	return -1
}
