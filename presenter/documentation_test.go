package presenter_test

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/presenter"
)

const (
	commandsPage = "../docs/COMMANDS.md"
	// updateVariable is the environment variable that makes the test write the page first.
	updateVariable = "RILL_UPDATE"
)

func commandsText() string {
	var text strings.Builder
	root := presenter.Command(io.Discard, io.Discard)
	text.WriteString("# Commands of rillctl\n\n")
	text.WriteString("`rillctl` talks to the operators' port of any daemon. The tables come from the definition of\n")
	text.WriteString("the commands; `RILL_UPDATE=1 go test ./presenter` writes this page.\n\n")
	text.WriteString("| command | help |\n| --- | --- |\n")
	for _, command := range root.Commands {
		fmt.Fprintf(&text, "| `rillctl %s` | %s |\n", strings.TrimSpace(command.Name+" "+command.ArgsUsage), command.Usage)
	}
	text.WriteString("\n## Flags of every command\n\n")
	writeFlags(&text, root.Flags)
	for _, command := range root.Commands {
		if len(command.Flags) == 0 {
			continue
		}
		fmt.Fprintf(&text, "\n## Flags of rillctl %s\n\n", command.Name)
		writeFlags(&text, command.Flags)
	}
	text.WriteString("\n## Exit codes\n\n| code | meaning |\n| --- | --- |\n")
	for _, code := range presenter.Codes() {
		fmt.Fprintf(&text, "| %d | %s |\n", code.Code, code.Meaning)
	}
	return text.String()
}

func writeFlags(text *strings.Builder, flags []cli.Flag) {
	text.WriteString("| flag | default | help |\n| --- | --- | --- |\n")
	for _, flag := range flags {
		documented, ok := flag.(cli.DocGenerationFlag)
		if !ok {
			continue
		}
		value := documented.GetDefaultText()
		if value == "" {
			value = "none"
		}
		fmt.Fprintf(text, "| `--%s` | %s | %s |\n", flag.Names()[0], value, documented.GetUsage())
	}
}

func TestCommandsPage(t *testing.T) {
	want := commandsText()
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(commandsPage, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(commandsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatalf("%s differs from the definition of the commands; RILL_UPDATE=1 writes it", commandsPage)
	}
}

func TestEveryCommandAndFlagHasHelp(t *testing.T) {
	root := presenter.Command(io.Discard, io.Discard)
	for _, command := range append(root.Commands, root) {
		if command.Usage == "" {
			t.Errorf("%s has no help", command.Name)
		}
		for _, flag := range command.Flags {
			if documented, ok := flag.(cli.DocGenerationFlag); !ok || documented.GetUsage() == "" {
				t.Errorf("%s: the flag %s has no help", command.Name, flag.Names()[0])
			}
		}
	}
}
