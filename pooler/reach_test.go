package pooler_test

import (
	"fmt"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// newObjectsInDataCentres declares targets of one model in data centres "a" to "e".
func newObjectsInDataCentres(perDataCentre int, selectors ...registrar.Selector) registrar.Objects {
	objects := registrar.Objects{
		Models:    []registrar.Model{{Name: "m", DefaultVersion: "v", BlockTokens: 2048}},
		Versions:  []registrar.Version{{Name: "v", Model: "m", Weights: "w"}},
		Selectors: selectors,
	}
	for _, dataCentre := range []string{"a", "b", "c", "d", "e"} {
		for i := range perDataCentre {
			objects.Targets = append(objects.Targets, registrar.Target{
				Name: fmt.Sprintf("%s-%d", dataCentre, i), Kind: registrar.TargetEngine, Model: "m", DataCentre: dataCentre,
				Labels: registrar.Labels{"pool": fmt.Sprint(i % 2)},
			})
		}
	}
	return objects
}

// reachedTargets returns the names of a pool's targets, the number of those in the data centre, and
// the numbers of the others by label.
func reachedTargets(t *testing.T, dataCentre string, objects registrar.Objects) (names map[string]bool, local int, labels map[string]int) {
	t.Helper()
	p := pooler.New(pooler.Settings{Daemon: "daemon", DataCentre: dataCentre, Liveness: fakeLiveness{}})
	snapshot, err := registrar.NewSnapshot(1, objects)
	if err != nil {
		t.Fatal(err)
	}
	p.Apply(snapshot)
	names, labels = make(map[string]bool), make(map[string]int)
	for _, target := range p.Targets() {
		names[target.Name] = true
		if target.DataCentre == dataCentre {
			local++
			continue
		}
		labels[target.Labels["pool"]]++
	}
	return names, local, labels
}

func TestSmallPoolKeepsAllTargets(t *testing.T) {
	names, _, _ := reachedTargets(t, "a", newObjectsInDataCentres(6))
	if len(names) != 30 {
		t.Errorf("%d of 30 targets are reached", len(names))
	}
}

// TestLargePoolKeepsSomeRemoteTargets checks that a pool keeps all targets of its own data centre,
// some remote ones of each label, and those that a selector names.
func TestLargePoolKeepsSomeRemoteTargets(t *testing.T) {
	named := registrar.Selector{Name: "one", Match: []registrar.Requirement{{
		Kind: registrar.KindTarget, Key: registrar.NameKey, Operator: registrar.OperatorEquals, Values: []string{"e-99"},
	}}}
	objects := newObjectsInDataCentres(100, named)
	names, local, labels := reachedTargets(t, "a", objects)
	if local != 100 || !names["e-99"] || labels["0"] != 12 || labels["1"] != 13 {
		t.Errorf("%d local, remote by label %v, named target kept: %v", local, labels, names["e-99"])
	}
	otherNames, _, _ := reachedTargets(t, "b", objects)
	same := 0
	for name := range names {
		if otherNames[name] && name[0] != 'a' && name[0] != 'b' {
			same++
		}
	}
	if same > 20 {
		t.Errorf("two data centres keep the same %d remote targets", same)
	}
}
