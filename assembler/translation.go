package assembler

import (
	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// decodeDeclared decodes an item of the operators' keys.
func decodeDeclared(item storer.Item) (declared tracker.Declared, err error) {
	switch {
	case platform.IsCatalog(item.Key):
		declared.Catalog, err = platform.DecodeCatalog(item.Value)
	case platform.IsWantedWeights(item.Key):
		var wanted platform.WantedWeights
		wanted, err = platform.DecodeWantedWeights(item.Value)
		declared.Weights = &tracker.Weights{Model: wanted.Model, Version: wanted.Version}
	}
	return declared, err
}

// engines lists what the placer needs to know of each service's engines.
func engines(catalog *cataloger.Catalog) map[string]placer.Engine {
	described := make(map[string]placer.Engine)
	for _, service := range catalog.Services() {
		if service.Engine == nil {
			continue
		}
		described[service.Name] = placer.Engine{
			CacheTokens: service.Engine.CacheTokens, TokenBytes: service.Engine.TokenBytes,
			LinkBitsPerSecond: service.Engine.LinkBitsPerSecond,
		}
	}
	return described
}

// partStore is what the placer needs to know of the store of cached parts.
func partStore(catalog *cataloger.Catalog) placer.Store {
	store, found := catalog.CacheStore()
	if !found {
		return placer.Store{}
	}
	return placer.Store{
		Address: store.Address, DataCentre: store.DataCentre,
		CacheTokens: store.CacheTokens, LinkBitsPerSecond: store.LinkBitsPerSecond,
	}
}
