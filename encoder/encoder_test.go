package encoder_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

var compareAddress = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func drawName(rt *rapid.T) string { return rapid.StringN(1, 8, -1).Draw(rt, "name") }

func drawLabels(rt *rapid.T) registrar.Labels {
	return registrar.Labels(rapid.MapOfN(rapid.String(), rapid.String(), 0, 3).Draw(rt, "labels"))
}

func drawLimits(rt *rapid.T) registrar.Limits {
	return registrar.Limits{
		RequestsPerSecond: rapid.Float64().Draw(rt, "requests"),
		TokensPerSecond:   rapid.Float64().Draw(rt, "tokens"),
		MaxConcurrent:     rapid.Int().Draw(rt, "concurrent"),
		FairShareWeight:   rapid.Float64().Draw(rt, "share"),
	}
}

func drawRequirement(rt *rapid.T) registrar.Requirement {
	requirement := registrar.Requirement{
		Kind: rapid.SampledFrom([]registrar.Kind{registrar.KindAccount, registrar.KindTarget}).Draw(rt, "on"),
		Key:  rapid.String().Draw(rt, "key"),
		Operator: rapid.SampledFrom([]registrar.Operator{
			registrar.OperatorEquals, registrar.OperatorIn, registrar.OperatorNotIn, registrar.OperatorExists,
		}).Draw(rt, "operator"),
	}
	switch requirement.Operator {
	case registrar.OperatorEquals:
		requirement.Values = []string{rapid.String().Draw(rt, "value")}
	case registrar.OperatorIn, registrar.OperatorNotIn:
		requirement.Values = rapid.SliceOfN(rapid.String(), 0, 3).Draw(rt, "values")
	}
	return requirement
}

func drawTarget(rt *rapid.T) registrar.Target {
	octets := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(rt, "address")
	address, _ := netip.AddrFromSlice(octets)
	return registrar.Target{
		Name: drawName(rt), Labels: drawLabels(rt), Kind: registrar.TargetEngine,
		Address:       netip.AddrPortFrom(address, rapid.Uint16().Draw(rt, "port")),
		DataCentre:    rapid.String().Draw(rt, "data centre"),
		Model:         rapid.String().Draw(rt, "model"),
		ChecksFencing: rapid.Bool().Draw(rt, "fencing"),
		Slots:         rapid.Int().Draw(rt, "slots"),
	}
}

func drawObjects(rt *rapid.T) registrar.Objects {
	return registrar.Objects{
		Accounts: drawList(rt, func(rt *rapid.T) registrar.Account {
			digest := registrar.KeyDigest(rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(rt, "digest"))
			return registrar.Account{
				Name: drawName(rt), Labels: drawLabels(rt),
				KeyDigests: []registrar.KeyDigest{digest, {1}}, Limits: drawLimits(rt),
			}
		}),
		Models: drawList(rt, func(rt *rapid.T) registrar.Model {
			weights := registrar.RoutingWeights{Wait: rapid.Float64().Draw(rt, "wait")}
			return registrar.Model{Name: drawName(rt), Labels: drawLabels(rt), DefaultVersion: "v", BlockTokens: 3, Routing: weights}
		}),
		Versions: drawList(rt, func(rt *rapid.T) registrar.Version {
			return registrar.Version{Name: drawName(rt), Labels: drawLabels(rt), Model: "m", Weights: "w", Adapter: "a"}
		}),
		Targets: drawList(rt, drawTarget),
		Services: drawList(rt, func(rt *rapid.T) registrar.Service {
			operation := registrar.Operation{
				Name: drawName(rt), Method: "POST", Path: rapid.String().Draw(rt, "path"),
				Idempotent: rapid.Bool().Draw(rt, "idempotent"),
				Timeout:    time.Duration(rapid.Int64().Draw(rt, "timeout")),
			}
			return registrar.Service{Name: drawName(rt), Operations: []registrar.Operation{operation}, LookupPath: "/l"}
		}),
		Selectors: drawList(rt, func(rt *rapid.T) registrar.Selector {
			return registrar.Selector{
				Name: drawName(rt), Labels: drawLabels(rt), Priority: rapid.Int().Draw(rt, "priority"),
				Effect: registrar.EffectDeny, Match: drawList(rt, drawRequirement), Limits: drawLimits(rt),
			}
		}),
	}
}

func drawList[T any](rt *rapid.T, draw func(*rapid.T) T) []T {
	var list []T
	for range rapid.IntRange(0, 4).Draw(rt, "length") {
		list = append(list, draw(rt))
	}
	return list
}

func TestChangeRoundTrip(t *testing.T) {
	ignoreOrder := cmp.Options{
		compareAddress, cmpopts.EquateEmpty(),
		cmpopts.SortSlices(func(a, b registrar.Account) bool { return a.Name < b.Name }),
		cmpopts.SortSlices(func(a, b registrar.Model) bool { return a.Name < b.Name }),
		cmpopts.SortSlices(func(a, b registrar.Version) bool { return a.Name < b.Name }),
		cmpopts.SortSlices(func(a, b registrar.Target) bool { return a.Name < b.Name }),
		cmpopts.SortSlices(func(a, b registrar.Service) bool { return a.Name < b.Name }),
		cmpopts.SortSlices(func(a, b registrar.Selector) bool { return a.Name < b.Name }),
		cmpopts.SortSlices(func(a, b registrar.KeyDigest) bool { return bytes.Compare(a[:], b[:]) < 0 }),
		cmpopts.SortSlices(func(a, b string) bool { return a < b }),
	}
	rapid.Check(t, func(rt *rapid.T) {
		change := registrar.Change{
			Set:     drawObjects(rt),
			Remove:  []registrar.Reference{{Kind: registrar.KindModel, Name: drawName(rt)}},
			Author:  rapid.String().Draw(rt, "author"),
			Comment: rapid.String().Draw(rt, "comment"),
		}
		data, err := encoder.EncodeChange(change)
		if err != nil {
			rt.Fatalf("encode: %v", err)
		}
		decoded, err := encoder.DecodeChange(data)
		if err != nil {
			rt.Fatalf("decode: %v", err)
		}
		if diff := cmp.Diff(change, decoded, ignoreOrder); diff != "" {
			rt.Fatalf("the change differs after a round trip:\n%s", diff)
		}
	})
}

func TestEncodeObjectsIsCanonical(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		objects := drawObjects(rt)
		// The names are made unique, since the stable sort keeps the order of targets with equal names.
		for i := range objects.Targets {
			objects.Targets[i].Name = fmt.Sprintf("%s-%d", objects.Targets[i].Name, i)
		}
		first, err := encoder.EncodeObjects(objects)
		if err != nil {
			rt.Fatalf("encode: %v", err)
		}
		objects.Targets = rapid.Permutation(objects.Targets).Draw(rt, "order")
		for i := range objects.Accounts {
			objects.Accounts[i].KeyDigests = rapid.Permutation(objects.Accounts[i].KeyDigests).Draw(rt, "digests")
		}
		for i := range objects.Selectors {
			for j := range objects.Selectors[i].Match {
				requirement := &objects.Selectors[i].Match[j]
				requirement.Values = rapid.Permutation(requirement.Values).Draw(rt, "values")
			}
		}
		second, err := encoder.EncodeObjects(objects)
		if err != nil || !bytes.Equal(first, second) {
			rt.Fatalf("the encoding depends on the order (error %v):\n%s\n%s", err, first, second)
		}
	})
}

func TestDecodeObjectsReportsPath(t *testing.T) {
	cases := []struct{ name, data, path string }{
		{"digest", `{"accounts":[{"name":"a","key_digests":["sha256:00"]}]}`, "accounts[0].key_digests[0]"},
		{"address", `{"targets":[{"name":"a"},{"name":"b","address":"here"}]}`, "targets[1].address"},
		{"timeout", `{"services":[{"name":"a","operations":[{"name":"o","timeout":"5"}]}]}`, "services[0].operations[0].timeout"},
		{"requirement", `{"selectors":[{"name":"a","match":[{"on":"account","key":"k"}]}]}`, "selectors[0].match[0]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := encoder.DecodeObjects([]byte(c.data))
			var malformed *encoder.MalformedValueError
			if !errors.As(err, &malformed) || malformed.Path != c.path {
				t.Fatalf("got %v, want a MalformedValueError at %s", err, c.path)
			}
		})
	}
}

func FuzzDecodeObjects(f *testing.F) {
	f.Add([]byte(`{"accounts":[{"name":"a","labels":{"tier":"gold"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, err := encoder.DecodeObjects(data)
		if err != nil {
			return
		}
		encoded, err := encoder.EncodeObjects(objects)
		if err != nil {
			t.Fatalf("decoded objects cannot be encoded: %v", err)
		}
		again, err := encoder.DecodeObjects(encoded)
		if err != nil {
			t.Fatalf("encoded objects cannot be decoded: %v", err)
		}
		second, err := encoder.EncodeObjects(again)
		if err != nil || !bytes.Equal(encoded, second) {
			t.Fatalf("the second encoding differs (error %v):\n%s\n%s", err, encoded, second)
		}
	})
}
