package pooler

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

const (
	// maxPoolTargets bounds a pool. The targets of the daemon's own data centre come first.
	maxPoolTargets = router.DefaultMaxTargets
	// maxUnsampledTargets is the number of targets of a model up to which a pool holds all of
	// them, whatever their data centre.
	maxUnsampledTargets = 32
	// remoteTargetsPerLabels is the number of targets of other data centres that a larger pool
	// holds for each set of labels.
	remoteTargetsPerLabels = 12
)

// selectReachable returns the targets of a model that the daemon keeps in its pool. It keeps all
// targets if the model has few. Otherwise it keeps those of its own data centre, those that a
// selector names, and some remote ones for each set of labels, so that every selector on labels
// still matches targets. Rendezvous hashing makes the data centres keep different remote targets.
func (p *Pooler) selectReachable(targets []*registrar.Target, named map[string]bool) []*registrar.Target {
	slices.SortStableFunc(targets, func(a, b *registrar.Target) int {
		return p.distance(a) - p.distance(b)
	})
	if len(targets) <= maxUnsampledTargets {
		return targets
	}
	local := 0
	for local < len(targets) && p.distance(targets[local]) == 0 {
		local++
	}
	kept := slices.Clone(targets[:local])
	groups := make(map[string][]*registrar.Target)
	for _, target := range targets[local:] {
		if named[target.Name] {
			kept = append(kept, target)
			continue
		}
		labels := labelsKey(target.Labels)
		groups[labels] = append(groups[labels], target)
	}
	for _, labels := range slices.Sorted(maps.Keys(groups)) {
		kept = append(kept, p.sampleRemote(groups[labels])...)
	}
	return kept[:min(len(kept), maxPoolTargets)]
}

// sampleRemote returns the targets that this data centre keeps of a group with equal labels.
func (p *Pooler) sampleRemote(group []*registrar.Target) []*registrar.Target {
	slices.SortFunc(group, func(a, b *registrar.Target) int {
		return cmp.Compare(p.rendezvousHash(a), p.rendezvousHash(b))
	})
	return group[:min(len(group), remoteTargetsPerLabels)]
}

func (p *Pooler) rendezvousHash(target *registrar.Target) uint64 {
	return xxh3.HashString(p.settings.DataCentre + "\x00" + target.Name)
}

func (p *Pooler) distance(target *registrar.Target) int {
	if target.DataCentre == p.settings.DataCentre {
		return 0
	}
	return 1
}

func labelsKey(labels registrar.Labels) string {
	var key strings.Builder
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		key.WriteString(name + "\x00" + labels[name] + "\x00")
	}
	return key.String()
}

// namedTargets returns the targets that a selector names.
func namedTargets(selectors []registrar.Selector) map[string]bool {
	named := make(map[string]bool)
	for i := range selectors {
		for _, requirement := range selectors[i].Match {
			if requirement.Kind != registrar.KindTarget || requirement.Key != registrar.NameKey {
				continue
			}
			for _, name := range requirement.Values {
				named[name] = true
			}
		}
	}
	return named
}
