package observer

import (
	"io"
	"log/slog"
	"slices"
)

// AllComponents in LogSettings.DebugComponents enables the debug logs of every component.
const AllComponents = "all"

// LogSettings set the destination, format and levels of the logs.
type LogSettings struct {
	// Output receives the lines; if it is nil, nothing is logged.
	Output io.Writer
	// Level is the minimum level for components that are in neither Levels nor DebugComponents;
	// slog.LevelInfo by default.
	Level slog.Level
	// Levels sets the minimum level of single components.
	Levels map[string]slog.Level
	// DebugComponents lists the components whose debug logs are enabled, or AllComponents.
	DebugComponents []string
	// JSON writes each line as a JSON object instead of text.
	JSON bool
}

// loggers creates the loggers of the components.
type loggers struct {
	settings LogSettings
}

func newLoggers(settings LogSettings) *loggers {
	return &loggers{settings: settings}
}

func (l *loggers) forComponent(component string) *slog.Logger {
	if l.settings.Output == nil {
		return slog.New(slog.DiscardHandler)
	}
	level, ok := l.settings.Levels[component]
	if !ok {
		level = l.settings.Level
	}
	if slices.Contains(l.settings.DebugComponents, component) || slices.Contains(l.settings.DebugComponents, AllComponents) {
		level = min(level, slog.LevelDebug)
	}
	options := &slog.HandlerOptions{Level: level}
	if l.settings.JSON {
		return slog.New(slog.NewJSONHandler(l.settings.Output, options))
	}
	return slog.New(slog.NewTextHandler(l.settings.Output, options))
}
