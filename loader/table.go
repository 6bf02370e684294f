package loader

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/locator"
)

const (
	shortestWait = time.Millisecond
	longestWait  = 24 * time.Hour
	maxBytes     = 1 << 30
)

// Field describes one setting.
type Field struct {
	// Name is the path in the file, as in "limits.max_body_bytes".
	Name string
	// Form says how the value is written.
	Form    string
	Default string
	Meaning string
}

// Describe returns all settings in the order of the documentation.
func Describe() []Field {
	var described []Field
	defaults := DefaultSettings()
	for _, section := range sections() {
		for _, field := range section.fields {
			name := field.name
			if section.name != "" {
				name = section.name + "." + name
			}
			described = append(described, Field{
				Name:    name,
				Form:    field.form,
				Default: field.show(&defaults),
				Meaning: field.meaning,
			})
		}
	}
	return described
}

// section is an object of the file; the one without a name is the file itself.
type section struct {
	name   string
	fields []field
}

// field declares one setting: how it is read and how its default is shown.
type field struct {
	name    string
	form    string
	meaning string
	read    func(locator.Node, *Settings)
	show    func(*Settings) string
}

func sections() []section {
	return []section{
		{"", placeFields()},
		{"tls", tlsFields()},
		{"limits", limitFields()},
		{"log", logFields()},
		{"telemetry", telemetryFields()},
		{"hosted", hostedFields()},
	}
}

func textField(name, meaning string, at func(*Settings) *string) field {
	return field{
		name: name, form: "string", meaning: meaning,
		read: func(node locator.Node, s *Settings) { *at(s), _ = node.Text() },
		show: func(s *Settings) string { return showText(*at(s)) },
	}
}

func addressField(name, meaning string, at func(*Settings) *netip.AddrPort) field {
	return field{
		name: name, form: "address and port", meaning: meaning,
		read: func(node locator.Node, s *Settings) { *at(s), _ = node.AddrPort() },
		show: func(s *Settings) string {
			if !at(s).IsValid() {
				return "none"
			}
			return at(s).String()
		},
	}
}

func addressesField(name, meaning string, at func(*Settings) *[]netip.AddrPort) field {
	return field{
		name: name, form: "list of addresses and ports", meaning: meaning,
		read: func(node locator.Node, s *Settings) {
			elements, _ := node.List()
			for _, element := range elements {
				if address, ok := element.AddrPort(); ok {
					*at(s) = append(*at(s), address)
				}
			}
		},
		show: func(*Settings) string { return "none" },
	}
}

func durationField(name, meaning string, at func(*Settings) *time.Duration) field {
	return field{
		name: name, form: "duration", meaning: meaning,
		read: func(node locator.Node, s *Settings) { *at(s), _ = node.Duration(shortestWait, longestWait) },
		show: func(s *Settings) string { return at(s).String() },
	}
}

func countField(name, form, meaning string, highest int, at func(*Settings) *int) field {
	return field{
		name: name, form: form, meaning: meaning,
		read: func(node locator.Node, s *Settings) { *at(s), _ = node.Int(1, highest) },
		show: func(s *Settings) string { return fmt.Sprint(*at(s)) },
	}
}

func bytesField(name, meaning string, at func(*Settings) *int) field {
	return countField(name, "bytes", meaning, maxBytes, at)
}

func numberField(name, meaning string, at func(*Settings) *int) field {
	return countField(name, "whole number", meaning, math.MaxInt32, at)
}

func showText(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

const levelForm = `"debug", "info", "warn" or "error"`

func readLevel(node locator.Node) (level slog.Level, ok bool) {
	text, ok := node.Text()
	if !ok {
		return 0, false
	}
	level, ok = levels[text]
	if !ok {
		node.Fail(levelForm)
	}
	return level, ok
}

func readParts(node locator.Node, s *Settings) {
	object := node.Object()
	s.Log.Parts = make(map[string]slog.Level)
	for _, part := range object.Names() {
		value, _ := object.Node(part)
		if level, ok := readLevel(value); ok {
			s.Log.Parts[part] = level
		}
	}
}

func readFormat(node locator.Node, s *Settings) {
	text, ok := node.Text()
	if !ok {
		return
	}
	s.Log.Format = LogFormat(text)
	if s.Log.Format != LogText && s.Log.Format != LogJSON {
		node.Fail(`"text" or "json"`)
	}
}

func showLevel(level slog.Level) string { return strings.ToLower(level.String()) }
