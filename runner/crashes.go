package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
)

// maxWireCrashBytes is the size of a strike or a completion in a message, which bounds their number.
const maxWireCrashBytes = 100

// wireCrashes are the strikes and completions in a message.
type wireCrashes struct {
	Strikes     []wireStrike     `json:"strikes,omitempty"`
	Completions []wireCompletion `json:"completions,omitempty"`
}

type wireStrike struct {
	Cause       uint64 `json:"cause"`
	Incarnation uint64 `json:"incarnation"`
	AgeMS       int64  `json:"age_ms"`
	Ended       bool   `json:"ended,omitempty"`
}

type wireCompletion struct {
	Cause uint64 `json:"cause"`
	AgeMS int64  `json:"age_ms"`
}

func (d *Daemon) startCrashes(context.Context) error {
	d.crashes = attributor.New(attributor.Settings{Name: d.settings.Name, Now: time.Now})
	return nil
}

func (d *Daemon) exportCrashes(maxBytes int) []byte {
	strikes, completions := d.crashes.Export(maxBytes / (2 * maxWireCrashBytes))
	if len(strikes)+len(completions) == 0 {
		return nil
	}
	var message wireCrashes
	for _, s := range strikes {
		message.Strikes = append(message.Strikes, wireStrike{Cause: uint64(s.Cause), Incarnation: s.Incarnation, AgeMS: s.Age.Milliseconds(), Ended: s.Ended})
	}
	for _, c := range completions {
		message.Completions = append(message.Completions, wireCompletion{Cause: uint64(c.Cause), AgeMS: c.Age.Milliseconds()})
	}
	data, err := json.Marshal(message)
	if err != nil {
		d.observer.Log("attributor").Error("attributor: cannot encode a message", "error", err)
		return nil
	}
	return data
}

func (d *Daemon) importCrashes(from gossiper.Member, data []byte) {
	var message wireCrashes
	if err := json.Unmarshal(data, &message); err != nil {
		d.observer.Log("attributor").Debug("attributor: cannot decode a peer's message", "member", from.Name, "error", err)
		return
	}
	var strikes []attributor.Strike
	for _, s := range message.Strikes {
		strikes = append(strikes, attributor.Strike{Cause: attributor.Cause(s.Cause), Incarnation: s.Incarnation, Age: milliseconds(s.AgeMS), Ended: s.Ended})
	}
	var completions []attributor.Completion
	for _, c := range message.Completions {
		completions = append(completions, attributor.Completion{Cause: attributor.Cause(c.Cause), Age: milliseconds(c.AgeMS)})
	}
	d.crashes.Import(strikes, completions)
}

// milliseconds returns the duration that a peer sent, which is never negative.
func milliseconds(count int64) time.Duration { return time.Duration(max(count, 0)) * time.Millisecond }
