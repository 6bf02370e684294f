package presenter

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	columnPadding = 2
	timeLayout    = time.RFC3339
)

// show prints the value as JSON if --json is set, and otherwise calls printText.
func show(command *cli.Command, value any, printText func(io.Writer)) error {
	out := command.Root().Writer
	if command.Bool("json") {
		return json.NewEncoder(out).Encode(value)
	}
	printText(out)
	return nil
}

// printTable prints the tab-separated rows in aligned columns.
func printTable(out io.Writer, rows func(io.Writer)) {
	writer := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	rows(writer)
	// A failed output also fails the next write to it.
	_ = writer.Flush()
}

type wireCheck struct {
	Valid   bool `json:"valid"`
	Objects int  `json:"objects"`
}

type wireMember struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Revision   uint64 `json:"revision"`
	State      string `json:"state"`
	Reason     string `json:"reason,omitempty"`
}

type wireApply struct {
	Base        uint64       `json:"base"`
	Revision    uint64       `json:"revision"`
	Set         int          `json:"set"`
	Removed     int          `json:"removed"`
	Waited      bool         `json:"waited"`
	InForce     bool         `json:"in_force"`
	Confirmed   []wireMember `json:"confirmed,omitempty"`
	Behind      []wireMember `json:"behind,omitempty"`
	Unreachable []wireMember `json:"unreachable,omitempty"`
}

func (w *wireApply) setConfirmations(confirmations operator.Confirmations) {
	w.Waited = true
	w.InForce = confirmations.Complete()
	w.Confirmed = membersToWire(confirmations.Confirmed)
	w.Behind = membersToWire(confirmations.Behind)
	w.Unreachable = membersToWire(confirmations.Unreachable)
}

func (w *wireApply) print(out io.Writer) {
	fmt.Fprintf(out, "revision %d: %d set, %d removed\n", w.Revision, w.Set, w.Removed)
	if !w.Waited {
		return
	}
	printTable(out, func(out io.Writer) {
		fmt.Fprintln(out, "DAEMON\tDATA CENTRE\tREVISION\tIN FORCE")
		printMembers(out, w.Confirmed, "confirmed")
		printMembers(out, w.Behind, "not yet")
		printMembers(out, w.Unreachable, "cannot be reached")
	})
}

func printMembers(out io.Writer, members []wireMember, state string) {
	for _, member := range members {
		shown := state
		if member.Reason != "" {
			shown += ": " + member.Reason
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\n", member.Name, member.DataCentre, member.Revision, shown)
	}
}

func membersToWire(members []operator.Member) []wireMember {
	var wire []wireMember
	for _, member := range members {
		wire = append(wire, wireMember{
			Name:       member.Name,
			DataCentre: member.DataCentre,
			Address:    member.Address.String(),
			Revision:   uint64(member.Revision),
			State:      string(member.State),
			Reason:     member.Reason,
		})
	}
	return wire
}

type wireReference struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

type wireDiff struct {
	Base   uint64          `json:"base"`
	Set    []wireReference `json:"set"`
	Remove []wireReference `json:"remove"`
}

func diffToWire(base registrar.Revision, change registrar.Change) *wireDiff {
	wire := &wireDiff{Base: uint64(base), Set: []wireReference{}, Remove: []wireReference{}}
	for _, reference := range change.Set.References() {
		wire.Set = append(wire.Set, referenceToWire(reference))
	}
	for _, reference := range change.Remove {
		wire.Remove = append(wire.Remove, referenceToWire(reference))
	}
	return wire
}

func referenceToWire(reference registrar.Reference) wireReference {
	return wireReference{Kind: string(reference.Kind), Name: reference.Name}
}

func (w *wireDiff) print(out io.Writer) {
	if len(w.Set)+len(w.Remove) == 0 {
		fmt.Fprintf(out, "no difference to revision %d\n", w.Base)
		return
	}
	printTable(out, func(out io.Writer) {
		fmt.Fprintln(out, "CHANGE\tKIND\tNAME")
		for _, reference := range w.Set {
			fmt.Fprintf(out, "set\t%s\t%s\n", reference.Kind, reference.Name)
		}
		for _, reference := range w.Remove {
			fmt.Fprintf(out, "remove\t%s\t%s\n", reference.Kind, reference.Name)
		}
	})
}
