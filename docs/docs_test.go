// Package docs_test checks the links between the Markdown pages of the project.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ (.+)$`)
)

func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, pattern := range []string{"*.md", "../*.md"} {
		matches, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, matches...)
	}
	if len(found) == 0 {
		t.Fatal("no Markdown pages found")
	}
	return found
}

// anchors returns the anchors that the headings of a page define.
func anchors(t *testing.T, page string) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]bool)
	for _, match := range headingPattern.FindAllStringSubmatch(string(text), -1) {
		found[strings.ReplaceAll(strings.ToLower(match[1]), " ", "-")] = true
	}
	return found
}

func TestPageLinksResolve(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			file, anchor, _ := strings.Cut(match[1], "#")
			linked := page
			if file != "" {
				linked = filepath.Join(filepath.Dir(page), file)
			}
			if _, err := os.Stat(linked); err != nil {
				t.Errorf("%s: link to %s: %v", page, match[1], err)
				continue
			}
			if anchor != "" && !anchors(t, linked)[anchor] {
				t.Errorf("%s: link to %s: no such heading", page, match[1])
			}
		}
	}
}
