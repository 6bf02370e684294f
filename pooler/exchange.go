package pooler

import "errors"

// HotPrefixes holds the hot prefixes of a model that a daemon sends to its peers, as
// router.Router.Export encodes them.
type HotPrefixes struct {
	Model string
	Data  []byte
}

// SetDaemonCount sets the number of daemons that send to the pools, this one included.
func (p *Pooler) SetDaemonCount(daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons = daemons
	for _, pool := range p.pools {
		pool.router.SetDaemonCount(daemons)
	}
}

// ExportHotPrefixes returns the hottest prefixes of all models, in about maxBytes bytes.
func (p *Pooler) ExportHotPrefixes(maxBytes int) []HotPrefixes {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pools) == 0 {
		return nil
	}
	maxBytesPerPool := maxBytes / len(p.pools)
	var hot []HotPrefixes
	for model, pool := range p.pools {
		if data := pool.router.Export(maxBytesPerPool); len(data) > 0 {
			hot = append(hot, HotPrefixes{Model: model, Data: data})
		}
	}
	return hot
}

// ImportHotPrefixes adds the hot prefixes that a peer has sent.
func (p *Pooler) ImportHotPrefixes(hot []HotPrefixes) (err error) {
	defer Error.WrapP(&err)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, received := range hot {
		if pool, ok := p.pools[received.Model]; ok {
			err = errors.Join(err, pool.router.Import(received.Data))
		}
	}
	return err
}
