package locator_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/locator"
)

func readAllFields(document *locator.Document) {
	root := document.Root()
	root.Text("name", locator.Required)
	root.Int("slots", 1, 10)
	root.Float("share", 0, 1)
	root.Bool("leaving")
	root.Duration("timeout", time.Millisecond, time.Minute)
	root.AddrPort("address")
	root.Texts("zones")
	root.TextMap("labels")
	root.Choice("kind", locator.Optional, "engine", "service")
	inner := root.Object("limits")
	inner.Int("max_concurrent", 1, 5)
	inner.ReportUnknown()
	root.ReportUnknown()
}

func TestDocumentReportsFaults(t *testing.T) {
	cases := []struct{ name, data, want string }{
		{"syntax", "{\n\"name\": }", `f:2:9: found a fault of syntax: invalid character '}' at start of value, expected JSON with comments`},
		{"unknown field", `{"name":"a","slot":1}`, `f:1:13: found the unknown field "slot"`},
		{"suggestion", `{"name":"a","slot":1}`, `did you mean "slots"?`},
		{"missing", `{}`, `f:1:1: found no field "name", expected it to be given`},
		{"empty", `{"name":""}`, `f:1:9: name: found "", expected a string that is not empty`},
		{"twice", `{"name":"a","name":"b"}`, `f:1:13: found the name "name" again`},
		{"no unit", "{\"name\":\"a\", // comment\n \"timeout\":\"5\"}", `f:2:12: timeout: found "5", expected a duration with a unit`},
		{"bare number", `{"name":"a","timeout":5}`, `expected a duration with a unit, such as "5s"`},
		{"zero without unit", `{"name":"a","timeout":"0"}`, `found "0", expected a duration with a unit`},
		{"range", `{"name":"a","slots":11}`, `slots: found 11, expected a whole number from 1 to 10`},
		{"fraction", `{"name":"a","slots":1.5}`, `slots: found 1.5, expected a whole number`},
		{"address", `{"name":"a","address":"localhost:1"}`, `address: found "localhost:1", expected an IP address and a port`},
		{"element", `{"name":"a","zones":["a",7]}`, `f:1:26: zones[1]: found 7, expected a string`},
		{"choice", `{"name":"a","kind":"engin"}`, `did you mean "engine"?`},
		{"inner", `{"name":"a","limits":{"max_concurent":1}}`, `did you mean "max_concurrent"?`},
		{"characters", `{"name":"ä","slots":0}`, `f:1:21: slots`},
		{"not UTF-8", "{\"name\":\"\xff\"}", `f:1:10: found a byte that is not UTF-8`},
		{"deep", strings.Repeat("[", 40), `f:1:33: found deeper nesting, expected at most 32 levels`},
		{"not an object", `[]`, `f:1:1: found a list of 0, expected an object`},
		{"comment at the end", `{} // end`, `found no field "name"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			document := locator.Parse("f", []byte(c.data))
			readAllFields(document)
			err := document.Err()
			var faults *locator.FaultsError
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestDocumentReportsAllFaults(t *testing.T) {
	document := locator.Parse("f", []byte(`{"slots":"x","timeout":5,"labels":{"a":1},"unknown":0}`))
	readAllFields(document)
	var faults *locator.FaultsError
	if !errors.As(document.Err(), &faults) || len(faults.Faults) != 5 {
		t.Fatalf("got %v, want 5 faults", document.Err())
	}
}

func TestFailAtPath(t *testing.T) {
	document := locator.Parse("f", []byte("{\"targets\":[{},\n  {\"address\":\"x\"}]}"))
	document.Fail("targets[1].address", "x", "y")
	document.Fail("targets[1].missing", "x", "y")
	want := "f:2:3: targets[1].missing: found x, expected y\nf:2:14: targets[1].address: found x, expected y"
	if err := document.Err(); !strings.HasSuffix(err.Error(), want) {
		t.Fatalf("got %v, want %s", err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"a"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		document := locator.Parse("f", data)
		readAllFields(document)
		if err := document.Err(); err != nil {
			_ = err.Error()
		}
	})
}
