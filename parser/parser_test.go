package parser_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/parser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const digest = "sha256:" + "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

const validFile = `{
  // The accounts.
  "accounts": [{"name": "demo", "labels": {"tier": "gold"}, "key_digests": ["` + digest + `"],
    "limits": {"requests_per_second": 50, "max_concurrent": 20}}],
  "models": [{"name": "demo-model", "default_version": "demo-v1", "block_tokens": 2000, "max_context_tokens": 128000,
    "routing": {"wait": 1, "recomputation": 1}}],
  "versions": [{"name": "demo-v1", "model": "demo-model", "weights": "demo-weights-1"}],
  "targets": [
    {"name": "e1", "kind": "engine", "address": "127.0.0.1:9001", "data_centre": "sapporo", "model": "demo-model", "slots": 8,
     "checks_fencing": true, "labels": {"zone": "a"}},
    {"name": "o1", "kind": "service", "address": "127.0.0.1:9101", "data_centre": "sapporo", "service": "orders"},
  ],
  "services": [{"name": "orders", "lookup_path": "/lookup",
    "operations": [{"name": "place", "method": "POST", "path": "/place", "idempotent": false, "timeout": "5s"}]}],
  "selectors": [{"name": "all", "priority": 0, "effect": "allow",
    "match": [{"on": "account", "key": "tier", "in": ["gold"]}, {"on": "target", "key": "zone", "equals": "a"}]}],
}
`

func TestParseObjects(t *testing.T) {
	objects, err := parser.ParseObjects("fleet.jsonc", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if got := objects.Targets[0].Address; got != netip.MustParseAddrPort("127.0.0.1:9001") {
		t.Errorf("address: got %s", got)
	}
	want := registrar.Requirement{Kind: registrar.KindAccount, Key: "tier", Operator: registrar.OperatorIn, Values: []string{"gold"}}
	if diff := cmp.Diff(want, objects.Selectors[0].Match[0]); diff != "" {
		t.Error(diff)
	}
}

func TestParseObjectsReportsFaults(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"slots": 8`, `"slot": 8`, `fleet.jsonc:9:116: targets[0]: found the unknown field "slot"`},
		{"suggestion", `"slots": 8`, `"slot": 8`, `did you mean "slots"?`},
		{"wrong type", `"slots": 8`, `"slots": "8"`, `fleet.jsonc:9:125: targets[0].slots: found "8", expected a whole number`},
		{"wrong unit", `"5s"`, `"5"`, `services[0].operations[0].timeout: found "5", expected a duration with a unit`},
		{"duplicate name", `"o1"`, `"e1"`, `fleet.jsonc:11:14: targets[1].name: found "e1" again`},
		{"dangling model", `"model": "demo-model", "slots"`, `"model": "gone", "slots"`, `targets[0].model: found "gone", expected the name of a model`},
		{"dangling default", `"default_version": "demo-v1"`, `"default_version": "demo-v2"`, `models[0].default_version: found "demo-v2", expected a version of the model`},
		{"nothing matched", `["gold"]`, `["lead"]`, `fleet.jsonc:16:15: selectors[0].match[0]: found no account that meets the requirements`},
		{"two operators", `"equals": "a"`, `"equals": "a", "exists": true`, `selectors[0].match[1]: found 2 of them, expected exactly one of`},
		{"no operator", `, "equals": "a"`, ``, `selectors[0].match[1]: found 0 of them, expected exactly one of`},
		{"exists false", `"equals": "a"`, `"exists": false`, `selectors[0].match[1].exists: found false, expected true`},
		{"effect", `"allow"`, `"alow"`, `did you mean "allow"?`},
		{"key in place of its digest", `"` + digest + `"`, `"demo-key"`, `accounts[0].key_digests[0]: found another value, which is not shown`},
		{"impossible", `"max_concurrent": 20`, `"max_concurrent": -1`, `accounts[0].limits.max_concurrent: found -1`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if strings.Count(validFile, c.old) != 1 {
				t.Fatalf("%s occurs %d times in the file", c.old, strings.Count(validFile, c.old))
			}
			objects, err := parser.ParseObjects("fleet.jsonc", []byte(strings.Replace(validFile, c.old, c.new, 1)))
			var fault *locator.FaultError
			if !errors.As(err, &fault) || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %s", err, c.want)
			}
			if len(objects.References()) != 0 {
				t.Fatal("objects of a file with faults were returned")
			}
		})
	}
}

func TestParseObjectsReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer(`"slots": 8`, `"slots": 0`, `"5s"`, `5`, `"allow"`, `"permit"`, `"e1"`, `""`).Replace(validFile)
	_, err := parser.ParseObjects("fleet.jsonc", []byte(text))
	var faults *locator.FaultsError
	if !errors.As(err, &faults) || len(faults.Faults) != 4 {
		t.Fatalf("got %v, want 4 faults", err)
	}
}

func TestValidateOver(t *testing.T) {
	current, err := parser.ParseObjects("fleet.jsonc", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, part, want string }{
		{"refers to an object in force", `{"versions": [{"name": "v2", "model": "demo-model", "weights": "w"}]}`, ""},
		{"breaks an object in force", `{"accounts": [{"name": "demo", "labels": {"tier": "lead"}}]}`, `selector "all"`},
		{"breaks a rule itself", "{\"versions\": [{\"name\": \"v2\",\n\"model\": \"gone\", \"weights\": \"w\"}]}", `part:2:10: versions[0].model`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file, err := parser.Parse("part", []byte(c.part))
			if err != nil {
				t.Fatal(err)
			}
			err = file.ValidateOver(current)
			if c.want == "" && err == nil {
				return
			}
			if c.want == "" || err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

// checkRoundTrip fails if the objects of an accepted file change when they are encoded and
// parsed again, or if a rejected file has no faults.
func checkRoundTrip(t *testing.T, data []byte) {
	file, err := parser.Parse("f", data)
	if err != nil {
		var faults *locator.FaultsError
		if !errors.As(err, &faults) || faults.Error() == "" {
			t.Fatalf("the file is rejected without faults: %v", err)
		}
		return
	}
	encoded, err := encoder.EncodeObjects(file.Objects())
	if err != nil {
		t.Fatalf("accepted objects cannot be encoded: %v", err)
	}
	again, err := parser.Parse("f", encoded)
	if err != nil {
		t.Fatalf("encoded objects are rejected: %v\n%s", err, encoded)
	}
	second, err := encoder.EncodeObjects(again.Objects())
	if err != nil || string(encoded) != string(second) {
		t.Fatalf("the objects differ after a round trip (error %v):\n%s\n%s", err, encoded, second)
	}
	if err := file.Validate(); err != nil {
		_ = err.Error()
	}
}

func FuzzFile(f *testing.F) {
	f.Add([]byte(validFile))
	f.Fuzz(checkRoundTrip)
}

func FuzzSelector(f *testing.F) {
	f.Add(`{"on": "account", "key": "tier", "in": ["gold"]}`)
	f.Fuzz(func(t *testing.T, requirement string) {
		match := `"match": [{"on": "account", "key": "tier", "in": ["gold"]}`
		checkRoundTrip(t, []byte(strings.Replace(validFile, match, `"match": [`+requirement, 1)))
	})
}
