package assembler

import (
	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// decodeDeclaration decodes an item that operators wrote to the store.
func decodeDeclaration(item storer.Item) (declared tracker.Declared, err error) {
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

// engineCapacities returns the cache and link capacities of each service's engines, for the placer.
func engineCapacities(catalog *cataloger.Catalog) map[string]placer.Engine {
	capacities := make(map[string]placer.Engine)
	for _, service := range catalog.Services() {
		if service.Engine == nil {
			continue
		}
		capacities[service.Name] = placer.Engine{
			CacheTokens: service.Engine.CacheTokens, TokenBytes: service.Engine.TokenBytes,
			LinkBitsPerSecond: service.Engine.LinkBitsPerSecond,
		}
	}
	return capacities
}

// cacheStores returns the names, addresses and capacities of the cache stores, for the placer and the poller.
func cacheStores(catalog *cataloger.Catalog) (stores []placer.CacheStore) {
	declared := catalog.CacheStores()
	for _, service := range declared {
		name := placer.CacheStoreName
		if len(declared) > 1 {
			name += "/" + service.Name
		}
		stores = append(stores, placer.CacheStore{
			Name: name, Address: service.Cache.Address, DataCentre: service.Cache.DataCentre,
			CacheTokens: service.Cache.CacheTokens, LinkBitsPerSecond: service.Cache.LinkBitsPerSecond,
		})
	}
	return stores
}
