package parser_test

import (
	"os"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/parser"
)

func TestConfigurationPageExampleIsValid(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(page), "```jsonc\n")
	example, _, found := strings.Cut(after, "```")
	if !found {
		t.Fatal("the page has no example")
	}
	objects, err := parser.ParseObjects("docs/CONFIGURATION.md", []byte(example))
	if err != nil || len(objects.References()) != 9 {
		t.Fatalf("got %d objects and %v", len(objects.References()), err)
	}
}
