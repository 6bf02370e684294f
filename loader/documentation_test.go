package loader_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/loader"
)

const (
	settingsPage = "../docs/SETTINGS.md"
	// updateEnv is the environment variable that makes the test write the page before the
	// comparison.
	updateEnv = "RILL_UPDATE"
)

func settingsText() string {
	var text strings.Builder
	text.WriteString("# Settings of the daemon\n\n")
	text.WriteString("`rilld serve --config FILE` reads a file of JSON with comments. `rilld check FILE` lists all\n")
	text.WriteString("faults in it with line and column. Durations are strings with a unit, such as \"5s\" or \"250ms\".\n")
	text.WriteString("This page is generated from `loader.Describe` by `RILL_UPDATE=1 go test ./loader`.\n\n")
	text.WriteString("| setting | form | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, field := range loader.Describe() {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", field.Name, field.Form, field.Default, field.Meaning)
	}
	return text.String()
}

func TestSettingsPage(t *testing.T) {
	want := settingsText()
	if os.Getenv(updateEnv) != "" {
		if err := os.WriteFile(settingsPage, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatalf("%s differs from loader.Describe; RILL_UPDATE=1 writes it", settingsPage)
	}
}

func TestEverySettingIsDescribed(t *testing.T) {
	for _, field := range loader.Describe() {
		if field.Form == "" || field.Default == "" || field.Meaning == "" {
			t.Errorf("%s: got %+v", field.Name, field)
		}
	}
}
