package refuser_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/refuser"
)

var codeRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\| (`not_run`|either) \\|")

// declaredCodes parses the constants of type Code from the source, so that a new code cannot be missed.
func declaredCodes(t *testing.T) []refuser.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "refuser.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []refuser.Code
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Code" {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			codes = append(codes, refuser.Code(text))
		}
		return true
	})
	return codes
}

func TestDocumentationListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[refuser.Code]string)
	for _, row := range codeRow.FindAllStringSubmatch(string(page), -1) {
		code := refuser.Code(row[1])
		if _, twice := listed[code]; twice {
			t.Errorf("docs/API.md lists %q twice", code)
		}
		listed[code] = row[2]
	}
	codes := declaredCodes(t)
	if len(codes) == 0 {
		t.Fatal("no code was found in refuser.go")
	}
	for _, code := range codes {
		want := strconv.Itoa(refuser.New(code, "").Status())
		if got := listed[code]; got != want {
			t.Errorf("docs/API.md lists status %q for %q, want %s", got, code, want)
		}
		delete(listed, code)
	}
	for code := range listed {
		t.Errorf("docs/API.md lists %q, which is not declared", code)
	}
}
