package comparer_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rosemaryrill/rosemaryrill/comparer"
)

func settings(deployment comparer.Deployment, fault comparer.Fault) comparer.Settings {
	return comparer.Settings{Deployment: deployment, Seed: 7, Requests: 2000, Fault: fault}
}

// cachedResults holds the results of all policies by deployment and fault, which several tests share.
var cachedResults = make(map[string]map[comparer.PolicyName]comparer.Result)

func compareCached(t *testing.T, deployment comparer.Deployment, fault comparer.Fault) map[comparer.PolicyName]comparer.Result {
	t.Helper()
	key := deployment.Name + "/" + string(fault)
	if cachedResults[key] == nil {
		cachedResults[key] = compare(t, settings(deployment, fault))
	}
	return cachedResults[key]
}

func compare(t *testing.T, s comparer.Settings) map[comparer.PolicyName]comparer.Result {
	t.Helper()
	results, err := comparer.Compare(s)
	if err != nil {
		t.Fatal(err)
	}
	byName := make(map[comparer.PolicyName]comparer.Result)
	for _, result := range results {
		byName[result.Policy] = result
	}
	return byName
}

func TestNoAnswerIsLostDoubledOrMixed(t *testing.T) {
	for _, deployment := range []comparer.Deployment{comparer.Kiyome(), comparer.Recife()} {
		for _, fault := range comparer.Faults() {
			t.Run(deployment.Name+"/"+string(fault), func(t *testing.T) {
				for name, result := range compareCached(t, deployment, fault) {
					if result.Lost+result.Doubled+result.Mixed != 0 {
						t.Errorf("%s: lost %d, doubled %d, mixed %d", name, result.Lost, result.Doubled, result.Mixed)
					}
				}
			})
		}
	}
}

func TestOracleRecomputesFewestTokens(t *testing.T) {
	results := compareCached(t, comparer.Recife(), comparer.FaultNone)
	oracle := results[comparer.PolicyOracle]
	for name, result := range results {
		if result.RecomputedTokens < oracle.RecomputedTokens {
			t.Errorf("%s recomputed %d tokens, the oracle %d", name, result.RecomputedTokens, oracle.RecomputedTokens)
		}
	}
}

func TestCompareIsDeterministic(t *testing.T) {
	s := settings(comparer.Kiyome(), comparer.FaultCrash)
	s.Policies = []comparer.PolicyName{comparer.PolicyLeastLoaded, comparer.PolicyRosemaryrill}
	if difference := cmp.Diff(compare(t, s), compare(t, s)); difference != "" {
		t.Fatal(difference)
	}
}

func TestWriteChart(t *testing.T) {
	s := settings(comparer.Kiyome(), comparer.FaultNone)
	s.Policies = []comparer.PolicyName{comparer.PolicyRandom, comparer.PolicyOracle}
	results, err := comparer.Compare(s)
	if err != nil {
		t.Fatal(err)
	}
	var chart bytes.Buffer
	if err := comparer.WriteChart(&chart, s, results); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(chart.Bytes(), []byte("<svg")) {
		t.Fatal("chart has no svg element")
	}
}
