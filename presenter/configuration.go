package presenter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/parser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const jsonIndent = "  "

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a file as a whole configuration, without a daemon",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			file, err := readFile(command)
			if err != nil {
				return err
			}
			if err := file.Validate(); err != nil {
				return err
			}
			objects := len(file.Objects().References())
			return show(command, wireCheck{Valid: true, Objects: objects}, func(out io.Writer) {
				fmt.Fprintf(out, "%d objects, no faults\n", objects)
			})
		},
	}
}

func pruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "remove the objects in force that the file does not contain"}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "commit the objects of a file",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force in every daemon, and name those that confirmed it"},
			pruneFlag(),
			&cli.StringFlag{Name: "comment", Usage: "comment to keep with the change"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			file, err := readFile(command)
			if err != nil {
				return err
			}
			return withClient(ctx, command, func(ctx context.Context, client *operator.Client) error {
				return apply(ctx, command, client, file)
			})
		},
	}
}

func apply(ctx context.Context, command *cli.Command, client *operator.Client, file *parser.File) error {
	base, change, err := planChange(ctx, command, client, file)
	if err != nil {
		return err
	}
	result := wireApply{Base: uint64(base), Revision: uint64(base)}
	if !change.IsEmpty() {
		change.Author = author()
		change.Comment = command.String("comment")
		revision, err := commit(ctx, client, base, change)
		if err != nil {
			return err
		}
		result.Revision = uint64(revision)
		result.Set = len(change.Set.References())
		result.Removed = len(change.Remove)
	}
	return awaitAndShow(ctx, command, client, result)
}

// commit applies the change. If the answer is lost, it waits until the change is in force or the
// context ends.
func commit(ctx context.Context, client *operator.Client, base registrar.Revision, change registrar.Change) (revision registrar.Revision, err error) {
	revision, err = client.Apply(ctx, base, change)
	var unsettled *operator.UnsettledError
	if errors.As(err, &unsettled) {
		return client.Settle(ctx, change)
	}
	return revision, err
}

// awaitAndShow waits for the revision if --wait is set, and shows the result.
func awaitAndShow(ctx context.Context, command *cli.Command, client *operator.Client, result wireApply) error {
	var waitErr error
	if command.Bool("wait") {
		confirmations, err := client.Await(ctx, registrar.Revision(result.Revision))
		waitErr = err
		result.setConfirmations(confirmations)
	}
	err := show(command, result, result.print)
	return errors.Join(waitErr, err)
}

// planChange validates the file together with the objects in force, and returns the change that
// turns them into the objects of the file. With --prune it validates the file alone.
func planChange(ctx context.Context, command *cli.Command, client *operator.Client, file *parser.File) (base registrar.Revision, change registrar.Change, err error) {
	base, inForce, err := client.Get(ctx, registrar.Reference{})
	if err != nil {
		return 0, registrar.Change{}, err
	}
	if command.Bool("prune") {
		inForce = registrar.Objects{}
	}
	if err := file.ValidateOver(inForce); err != nil {
		return 0, registrar.Change{}, err
	}
	diffBase, change, err := client.Diff(ctx, file.Objects(), command.Bool("prune"))
	// Get and Diff may return different revisions. The older one is the safe base: a commit between
	// them that changed the same objects is then detected as an overlap.
	return min(base, diffBase), change, err
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the objects in force in the form of a file, all or those of a kind",
		ArgsUsage: "[KIND [NAME]]",
		Action: func(ctx context.Context, command *cli.Command) error {
			given, err := arguments(command, 0, 2)
			if err != nil {
				return err
			}
			given = append(given, "", "")
			reference := registrar.Reference{Kind: registrar.Kind(given[0]), Name: given[1]}
			if !knownKind(reference.Kind) {
				return &UsageError{Message: fmt.Sprintf("unknown kind %q, expected account, model, version, target, service or selector", given[0])}
			}
			return withClient(ctx, command, func(ctx context.Context, client *operator.Client) error {
				_, objects, err := client.Get(ctx, reference)
				if err != nil {
					return err
				}
				return showObjects(command.Root().Writer, objects)
			})
		},
	}
}

func knownKind(kind registrar.Kind) bool {
	return slices.Contains([]registrar.Kind{
		"", registrar.KindAccount, registrar.KindModel, registrar.KindVersion,
		registrar.KindTarget, registrar.KindService, registrar.KindSelector,
	}, kind)
}

func showObjects(out io.Writer, objects registrar.Objects) error {
	data, err := encoder.EncodeObjects(objects)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", jsonIndent); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, indented.String())
	return err
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what apply would change",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{pruneFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			file, err := readFile(command)
			if err != nil {
				return err
			}
			return withClient(ctx, command, func(ctx context.Context, client *operator.Client) error {
				base, change, err := planChange(ctx, command, client, file)
				if err != nil {
					return err
				}
				result := diffToWire(base, change)
				return show(command, result, result.print)
			})
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "exclude a target from new requests, or include it again",
		ArgsUsage: "TARGET",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "undo", Usage: "include the target in new requests again"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force in every daemon, and name those that confirmed it"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			given, err := arguments(command, 1, 1)
			if err != nil {
				return err
			}
			return withClient(ctx, command, func(ctx context.Context, client *operator.Client) error {
				revision, err := client.Drain(ctx, given[0], command.Bool("undo"), author())
				if err != nil {
					return err
				}
				return awaitAndShow(ctx, command, client, wireApply{Revision: uint64(revision), Set: 1})
			})
		},
	}
}

func readFile(command *cli.Command) (file *parser.File, err error) {
	given, err := arguments(command, 1, 1)
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(given[0])
	if err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	return parser.Parse(given[0], data)
}
