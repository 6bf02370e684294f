package main

import (
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"
)

// commands lists the subcommands; each is in a file of its own.
func commands() []*cli.Command {
	return []*cli.Command{
		quickstartCommand(),
		fanoutCommand(),
		platformCommand(),
		engineCommand(),
		weightsCommand(),
		serviceCommand(),
		compareCommand(),
		loadCommand(),
		overheadCommand(),
		capacityCommand(),
	}
}

// listenAddress reads the flag --listen.
func listenAddress(command *cli.Command) (address netip.AddrPort, err error) {
	address, err = netip.ParseAddrPort(command.String("listen"))
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("--listen takes an address such as 127.0.0.1:8080: %w", err)
	}
	return address, nil
}
