package presenter

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

type wireExplanation struct {
	Revision uint64                  `json:"revision"`
	Version  string                  `json:"version,omitempty"`
	Chosen   string                  `json:"chosen"`
	Reason   string                  `json:"reason"`
	Targets  []wireTargetExplanation `json:"targets"`
}

type wireTargetExplanation struct {
	Target     string             `json:"target"`
	DataCentre string             `json:"data_centre"`
	Allowed    bool               `json:"allowed"`
	Usable     bool               `json:"usable"`
	Chosen     bool               `json:"chosen"`
	Selector   string             `json:"selector"`
	Reasons    []string           `json:"reasons,omitempty"`
	Selectors  []wireSelectorFact `json:"selectors"`
}

type wireSelectorFact struct {
	Selector string `json:"selector"`
	Effect   string `json:"effect"`
	Priority int    `json:"priority"`
	Matched  bool   `json:"matched"`
	Unmet    string `json:"unmet,omitempty"`
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show which targets a request may reach, which one it would be routed to, and why not the others",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "account", Usage: "client account of the request"},
			&cli.StringFlag{Name: "model", Usage: "model that the request names"},
			&cli.StringFlag{Name: "version", Usage: "version of the model; its default version otherwise"},
			&cli.StringFlag{Name: "service", Usage: "service that the request names, in place of a model"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			request, err := requestFromFlags(command)
			if err != nil {
				return err
			}
			return withClient(ctx, command, func(ctx context.Context, client *operator.Client) error {
				explanation, err := client.Explain(ctx, request)
				if err != nil {
					return err
				}
				wire := explanationToWire(explanation)
				return show(command, wire, wire.print)
			})
		},
	}
}

func requestFromFlags(command *cli.Command) (request registrar.Request, err error) {
	request = registrar.Request{
		Account: command.String("account"),
		Model:   command.String("model"),
		Version: command.String("version"),
		Service: command.String("service"),
	}
	if request.Account == "" {
		return request, &UsageError{Message: "explain: --account is missing"}
	}
	if (request.Model == "") == (request.Service == "") {
		return request, &UsageError{Message: "explain: exactly one of --model and --service is needed"}
	}
	return request, nil
}

func explanationToWire(explanation operator.Explanation) *wireExplanation {
	wire := &wireExplanation{
		Revision: uint64(explanation.Revision),
		Version:  explanation.Version,
		Chosen:   explanation.Chosen,
		Reason:   explanation.Reason,
	}
	for _, target := range explanation.Targets {
		shown := wireTargetExplanation{
			Target:     target.Target,
			DataCentre: target.DataCentre,
			Allowed:    target.Allowed,
			Usable:     target.Usable,
			Chosen:     target.Chosen,
			Selector:   target.Selector,
			Reasons:    target.Reasons,
		}
		for _, fact := range target.Selectors {
			shown.Selectors = append(shown.Selectors, wireSelectorFact{
				Selector: fact.Selector,
				Effect:   string(fact.Effect),
				Priority: fact.Priority,
				Matched:  fact.Matched,
				Unmet:    fact.Unmet,
			})
		}
		wire.Targets = append(wire.Targets, shown)
	}
	return wire
}

func (w *wireExplanation) print(out io.Writer) {
	fmt.Fprintf(out, "revision %d", w.Revision)
	if w.Version != "" {
		fmt.Fprintf(out, ", version %s", w.Version)
	}
	if w.Chosen == "" {
		fmt.Fprintf(out, ": no target, %s\n", w.Reason)
	} else {
		fmt.Fprintf(out, ": to %s, %s\n", w.Chosen, w.Reason)
	}
	printTable(out, func(out io.Writer) {
		fmt.Fprintln(out, "\nTARGET\tDATA CENTRE\tSELECTOR\tVERDICT")
		for _, target := range w.Targets {
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", target.Target, target.DataCentre, target.Selector, target.verdict())
		}
	})
}

func (w wireTargetExplanation) verdict() string {
	switch {
	case w.Chosen:
		return "chosen"
	case len(w.Reasons) > 0:
		return strings.Join(w.Reasons, "; ")
	}
	return "may be reached"
}
