package pooler

import "errors"

// Hot is what a daemon tells its peers of the hot prefixes of a model, in the form of the
// router.
type Hot struct {
	Model string
	Data  []byte
}

// SetPeers tells the routers how many daemons send to the pools, this one included.
func (p *Pooler) SetPeers(daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons = daemons
	for _, pool := range p.pools {
		pool.router.SetPeers(daemons)
	}
}

// ExportHot returns the hottest prefixes of all models, in about limit bytes.
func (p *Pooler) ExportHot(limit int) []Hot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pools) == 0 {
		return nil
	}
	limitPerPool := limit / len(p.pools)
	var hot []Hot
	for model, pool := range p.pools {
		if data := pool.router.Export(limitPerPool); len(data) > 0 {
			hot = append(hot, Hot{Model: model, Data: data})
		}
	}
	return hot
}

// ImportHot takes what a peer told.
func (p *Pooler) ImportHot(hot []Hot) (err error) {
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
