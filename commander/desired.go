package commander

import (
	"cmp"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// LabelRole is the label of a target that contains the role that its engine is to assume.
const LabelRole = "role"

// Desired is the state that an engine is to reach.
type Desired struct {
	Target  registrar.Target
	Version registrar.Version
	Role    string
}

// candidate is a version that a target may run, and the priority of the selector that allows it.
type candidate struct {
	version  registrar.Version
	priority int
}

// DesiredStates returns the desired state of each engine of a data centre, by the target's name.
// Of the versions of the target's model that a selector allows there, it chooses the one whose selector
// has the highest priority. Among equal priorities it prefers the model's default version, then the
// first by name. A target without an allowed version has no desired state.
func DesiredStates(snapshot *registrar.Snapshot, dataCentre string) map[string]Desired {
	allowed := allowedVersions(snapshot)
	desired := make(map[string]Desired)
	for _, target := range snapshot.Objects().Targets {
		if target.Kind != registrar.TargetEngine || target.DataCentre != dataCentre {
			continue
		}
		model, _ := snapshot.Model(target.Model)
		version, ok := preferredVersion(allowed[target.Name], model)
		if !ok {
			continue
		}
		desired[target.Name] = Desired{Target: target, Version: version, Role: target.Labels[LabelRole]}
	}
	return desired
}

// allowedVersions returns the allowed versions of each target, by the target's name.
func allowedVersions(snapshot *registrar.Snapshot) map[string][]candidate {
	accounts := []string{""}
	if selectsAccounts(snapshot.Objects().Selectors) {
		for _, account := range snapshot.Objects().Accounts {
			accounts = append(accounts, account.Name)
		}
	}
	allowed := make(map[string][]candidate)
	for _, version := range snapshot.Objects().Versions {
		best := make(map[string]candidate)
		for _, account := range accounts {
			request := registrar.Request{Account: account, Model: version.Model, Version: version.Name}
			mergeAllowed(best, version, snapshot.Verdicts(request))
		}
		for target, c := range best {
			allowed[target] = append(allowed[target], c)
		}
	}
	return allowed
}

// mergeAllowed records in best the highest priority at which the version is allowed at each target.
func mergeAllowed(best map[string]candidate, version registrar.Version, verdicts []registrar.Verdict) {
	for _, verdict := range verdicts {
		if !verdict.Allowed {
			continue
		}
		known, found := best[verdict.Target.Name]
		if !found || verdict.Priority > known.priority {
			best[verdict.Target.Name] = candidate{version: version, priority: verdict.Priority}
		}
	}
}

// selectsAccounts reports whether a selector matches on the client account.
func selectsAccounts(selectors []registrar.Selector) bool {
	return slices.ContainsFunc(selectors, func(selector registrar.Selector) bool {
		return slices.ContainsFunc(selector.Match, func(r registrar.Requirement) bool {
			return r.Kind == registrar.KindAccount
		})
	})
}

// preferredVersion returns the version of the best candidate.
func preferredVersion(candidates []candidate, model *registrar.Model) (version registrar.Version, ok bool) {
	if len(candidates) == 0 {
		return registrar.Version{}, false
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.priority, a.priority),
			cmp.Compare(defaultRank(a.version, model), defaultRank(b.version, model)),
			cmp.Compare(a.version.Name, b.version.Name),
		)
	})
	return best.version, true
}

// defaultRank returns a sort key that puts the model's default version before the others.
func defaultRank(version registrar.Version, model *registrar.Model) int {
	if model != nil && model.DefaultVersion == version.Name {
		return 0
	}
	return 1
}
