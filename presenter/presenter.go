// Package presenter implements the command line of rillctl: it reads files and flags, calls the
// operators' port of a daemon and prints the answers as tables or as JSON.
//
// # Usage
//
// The program passes its arguments and exits with the returned code:
//
//	os.Exit(presenter.Run(ctx, os.Args, os.Stdout, os.Stderr))
//
// The commands and the exit codes are also documented in docs/COMMANDS.md, which a test
// compares with Command and Codes.
package presenter

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/certifier"
	"github.com/rosemaryrill/rosemaryrill/operator"
)

// Error is the class of all errors of this package.
var Error = errs.Class("presenter")

const (
	defaultDaemon  = "127.0.0.1:8082"
	defaultTimeout = 30 * time.Second

	daemonsVariable = "RILL_DAEMONS"
	tokenVariable   = "RILL_TOKEN"
)

// Run runs rillctl with the arguments, of which the first is the program name. It prints errors to
// errOut and returns the exit code.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	err := Command(out, errOut).Run(ctx, arguments)
	if err == nil {
		return CodeOK
	}
	printError(errOut, err)
	return exitCode(err)
}

// Command returns the definition of rillctl.
func Command(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "rillctl",
		Usage:     "manage the fleet: its configuration, its targets and its record",
		Writer:    out,
		ErrWriter: errOut,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:        "daemon",
				Usage:       "IP address and port of a daemon's operators' port; if repeated, the daemons are tried in order; " + daemonsVariable + " sets a comma-separated list",
				Value:       []string{defaultDaemon},
				DefaultText: defaultDaemon,
				Sources:     cli.EnvVars(daemonsVariable),
			},
			&cli.StringFlag{Name: "token-file", Usage: "file that contains the operators' token; " + tokenVariable + " sets the token itself"},
			&cli.StringFlag{Name: "authority", Usage: "certificate file of the authority that signed the daemons' certificates; enables TLS"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long the whole command may take", Value: defaultTimeout, DefaultText: defaultTimeout.String()},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object in place of tables"},
		},
		Commands: []*cli.Command{
			checkCommand(), applyCommand(), getCommand(), diffCommand(),
			statusCommand(), explainCommand(), drainCommand(), reportCommand(), keyCommand(),
		},
		// Only Run prints errors and converts them to exit codes, so the handler does nothing.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &UsageError{Message: err.Error()}
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return &UsageError{Message: fmt.Sprintf("unknown command %q", command.Args().First())}
			}
			return cli.ShowAppHelp(command)
		},
	}
}

// withClient calls the function with a client for the daemons of --daemon and with a context that
// ends after --timeout.
func withClient(ctx context.Context, command *cli.Command, call func(context.Context, *operator.Client) error) (err error) {
	daemons, err := daemonsFromFlags(command)
	if err != nil {
		return err
	}
	token, err := tokenFromFlags(command)
	if err != nil {
		return err
	}
	tlsConfig, err := tlsConfigFromFlags(command)
	if err != nil {
		return err
	}
	client := operator.NewClient(operator.ClientSettings{Daemons: daemons, Token: token, TLS: tlsConfig})
	defer func() { err = errs.Combine(err, client.Close()) }()
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	return call(ctx, client)
}

func daemonsFromFlags(command *cli.Command) (daemons []netip.AddrPort, err error) {
	for _, text := range command.StringSlice("daemon") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, &UsageError{Message: fmt.Sprintf("--daemon %q is not an IP address and a port", text)}
		}
		daemons = append(daemons, address)
	}
	return daemons, nil
}

// tlsConfigFromFlags returns the TLS configuration for calls to the daemons, or nil if --authority is
// not set, in which case the calls do not use TLS.
func tlsConfigFromFlags(command *cli.Command) (config *tls.Config, err error) {
	file := command.String("authority")
	if file == "" {
		return nil, nil
	}
	config, err = certifier.ClientWithoutCertificate(file)
	if err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	return config, nil
}

// tokenFromFlags reads the token from the file of --token-file, or from RILL_TOKEN if the flag is
// not set.
func tokenFromFlags(command *cli.Command) (token string, err error) {
	path := command.String("token-file")
	if path == "" {
		return os.Getenv(tokenVariable), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &UsageError{Message: err.Error()}
	}
	return strings.TrimSpace(string(data)), nil
}

// author returns the name of the local user, which the configuration log records as the author of a
// change, or an empty string if it is not known.
func author() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// arguments returns the arguments of a command, or a UsageError if there are fewer than minimum or
// more than maximum.
func arguments(command *cli.Command, minimum, maximum int) (given []string, err error) {
	given = command.Args().Slice()
	if len(given) < minimum || len(given) > maximum {
		return nil, &UsageError{Message: fmt.Sprintf("%s: wrong number of arguments, expected %s", command.Name, command.ArgsUsage)}
	}
	return given, nil
}
