package loader

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/locator"
)

const (
	shortestDuration = time.Millisecond
	longestDuration  = 24 * time.Hour
	maxBytes         = 1 << 30
	// maxBound is the largest bound that a hosting platform may set, of whatever unit.
	maxBound = 1 << 50
)

// Field describes one setting.
type Field struct {
	// Name is the path of the setting in the file, as in "limits.max_body_bytes".
	Name string
	// Form describes the type and the notation of the value.
	Form string
	// Default is the default value as text, or "none".
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

// section is an object of the file; the section without a name is the top-level object.
type section struct {
	name   string
	fields []field
}

// field declares one setting. The function read parses the value from the file into the settings;
// show formats the value in the settings as the default in the documentation.
type field struct {
	name    string
	form    string
	meaning string
	read    func(locator.Node, *Settings)
	show    func(*Settings) string
}

func sections() []section {
	return []section{
		{"", rootFields()},
		{"tls", tlsFields()},
		{"limits", limitFields()},
		{"log", logFields()},
		{"telemetry", telemetryFields()},
		{"hosted", hostedFields()},
	}
}

// textField declares a setting that is a string. As in the functions below, valueIn returns a
// pointer to the setting's field in Settings.
func textField(name, meaning string, valueIn func(*Settings) *string) field {
	return field{
		name: name, form: "string", meaning: meaning,
		read: func(node locator.Node, s *Settings) { *valueIn(s), _ = node.Text() },
		show: func(s *Settings) string { return showText(*valueIn(s)) },
	}
}

func addressField(name, meaning string, valueIn func(*Settings) *netip.AddrPort) field {
	return field{
		name: name, form: "address and port", meaning: meaning,
		read: func(node locator.Node, s *Settings) { *valueIn(s), _ = node.AddrPort() },
		show: func(s *Settings) string {
			if !valueIn(s).IsValid() {
				return "none"
			}
			return valueIn(s).String()
		},
	}
}

func addressesField(name, meaning string, valueIn func(*Settings) *[]netip.AddrPort) field {
	return field{
		name: name, form: "list of addresses and ports", meaning: meaning,
		read: func(node locator.Node, s *Settings) {
			elements, _ := node.List()
			for _, element := range elements {
				if address, ok := element.AddrPort(); ok {
					*valueIn(s) = append(*valueIn(s), address)
				}
			}
		},
		show: func(*Settings) string { return "none" },
	}
}

func durationField(name, meaning string, valueIn func(*Settings) *time.Duration) field {
	return field{
		name: name, form: "duration", meaning: meaning,
		read: func(node locator.Node, s *Settings) {
			*valueIn(s), _ = node.Duration(shortestDuration, longestDuration)
		},
		show: func(s *Settings) string { return valueIn(s).String() },
	}
}

// boundField declares a bound that the hosting platform sets. It may be a fraction, since the platform scales bounds to
// the size of a deployment.
func boundField(name, meaning string, valueIn func(*Settings) *float64) field {
	return field{
		name: name, form: "number from 0", meaning: meaning,
		read: func(node locator.Node, s *Settings) { *valueIn(s), _ = node.Float(0, maxBound) },
		show: func(s *Settings) string { return strconv.FormatFloat(*valueIn(s), 'f', -1, 64) },
	}
}

// spanField declares a time that the hosting platform sets. Zero stands for the default.
func spanField(name, meaning string, valueIn func(*Settings) *time.Duration) field {
	return field{
		name: name, form: "duration, 0 for the default", meaning: meaning,
		read: func(node locator.Node, s *Settings) {
			if value, ok := node.Duration(0, longestDuration); ok && value > 0 {
				*valueIn(s) = value
			}
		},
		show: func(s *Settings) string { return valueIn(s).String() },
	}
}

// flagField declares a switch.
func flagField(name, meaning string, valueIn func(*Settings) *bool) field {
	return field{
		name: name, form: "true or false", meaning: meaning,
		read: func(node locator.Node, s *Settings) { *valueIn(s), _ = node.Bool() },
		show: func(s *Settings) string { return strconv.FormatBool(*valueIn(s)) },
	}
}

func positiveIntField(name, form, meaning string, highest int, valueIn func(*Settings) *int) field {
	return field{
		name: name, form: form, meaning: meaning,
		read: func(node locator.Node, s *Settings) { *valueIn(s), _ = node.Int(1, highest) },
		show: func(s *Settings) string { return fmt.Sprint(*valueIn(s)) },
	}
}

func bytesField(name, meaning string, valueIn func(*Settings) *int) field {
	return positiveIntField(name, "bytes", meaning, maxBytes, valueIn)
}

func numberField(name, meaning string, valueIn func(*Settings) *int) field {
	return positiveIntField(name, "whole number", meaning, math.MaxInt32, valueIn)
}

func showText(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

var levelByName = map[string]slog.Level{
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
	level, ok = levelByName[text]
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
