package placer

import "time"

// peer is what another daemon has at the targets.
type peer struct {
	work map[string]work
	at   time.Time
}

// Updating says that the weights of a target are about to change: it is left alone until then.
func (p *Placer) Updating(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		t.updatingUntil = until
	}
}

// Updated notes that a target has new weights and may be used again.
func (p *Placer) Updated(id, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		t.sawVersion(model, version)
		t.updatingUntil = time.Time{}
	}
}
