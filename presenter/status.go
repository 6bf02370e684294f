package presenter

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/operator"
)

type wireStatus struct {
	Daemon     string       `json:"daemon"`
	DataCentre string       `json:"data_centre"`
	Revision   uint64       `json:"revision"`
	Ready      bool         `json:"ready"`
	NotReady   []string     `json:"not_ready,omitempty"`
	Alarms     []wireAlarm  `json:"alarms,omitempty"`
	Daemons    []wireMember `json:"daemons"`
	Targets    []wireTarget `json:"targets"`
}

type wireAlarm struct {
	Kind    string    `json:"kind"`
	Message string    `json:"message"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Active  bool      `json:"active"`
}

type wireTarget struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	DataCentre  string `json:"data_centre"`
	Usable      bool   `json:"usable"`
	Reason      string `json:"reason,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Slots       int    `json:"slots"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what a daemon knows of itself, of the other daemons and of the targets",
		Action: func(ctx context.Context, command *cli.Command) error {
			if _, err := arguments(command, 0, 0); err != nil {
				return err
			}
			return withClient(ctx, command, func(ctx context.Context, client *operator.Client) error {
				status, err := client.Status(ctx)
				if err != nil {
					return err
				}
				wire := statusToWire(status)
				return show(command, wire, wire.print)
			})
		},
	}
}

func statusToWire(status operator.Status) *wireStatus {
	wire := &wireStatus{
		Daemon:     status.Daemon,
		DataCentre: status.DataCentre,
		Revision:   uint64(status.Revision),
		Ready:      len(status.NotReady) == 0,
		NotReady:   status.NotReady,
		Daemons:    membersToWire(status.Members),
	}
	for _, alarm := range status.Alarms {
		wire.Alarms = append(wire.Alarms, wireAlarm{
			Kind:    alarm.Kind,
			Message: alarm.Message,
			First:   alarm.First,
			Last:    alarm.Last,
			Active:  alarm.Active,
		})
	}
	for _, target := range status.Targets {
		wire.Targets = append(wire.Targets, wireTarget{
			Name:        target.Name,
			Kind:        string(target.Kind),
			DataCentre:  target.DataCentre,
			Usable:      target.Health.Usable,
			Reason:      target.Health.Reason,
			Incarnation: target.Health.Incarnation,
			Running:     target.Health.Running,
			Waiting:     target.Health.Waiting,
			Slots:       target.Slots,
		})
	}
	return wire
}

func (w *wireStatus) print(out io.Writer) {
	ready := "ready"
	if !w.Ready {
		ready = "not ready: " + strings.Join(w.NotReady, ", ")
	}
	fmt.Fprintf(out, "%s in %s, revision %d, %s\n", w.Daemon, w.DataCentre, w.Revision, ready)
	for _, alarm := range w.Alarms {
		if alarm.Active {
			fmt.Fprintf(out, "alarm since %s: %s\n", alarm.First.Format(timeLayout), alarm.Message)
		}
	}
	printTable(out, func(out io.Writer) {
		fmt.Fprintln(out, "\nDAEMON\tDATA CENTRE\tREVISION\tSTATE")
		for _, member := range w.Daemons {
			fmt.Fprintf(out, "%s\t%s\t%d\t%s\n", member.Name, member.DataCentre, member.Revision, withReason(member.State, member.Reason))
		}
	})
	printTable(out, func(out io.Writer) {
		fmt.Fprintln(out, "\nTARGET\tKIND\tDATA CENTRE\tRUNNING\tWAITING\tSLOTS\tSTATE")
		for _, target := range w.Targets {
			state := "usable"
			if !target.Usable {
				state = withReason("not usable", target.Reason)
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", target.Name, target.Kind, target.DataCentre, target.Running, target.Waiting, target.Slots, state)
		}
	})
}

func withReason(state, reason string) string {
	if reason == "" {
		return state
	}
	return state + ": " + reason
}
