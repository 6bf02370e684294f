package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/launcher"
)

func quickstartCommand() *cli.Command {
	return &cli.Command{
		Name:  "quickstart",
		Usage: "start a complete small fleet on loopback in this process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "callers' address of the first daemon, a free port by default", Value: "127.0.0.1:0"},
			&cli.BoolFlag{Name: "once", Usage: "send a mixed batch of requests, check the answers and exit"},
			&cli.BoolFlag{Name: "log", Usage: "log to standard error"},
			&cli.StringSliceFlag{Name: "log-output", Usage: "components whose debug lines are logged, such as router,dispatcher"},
		},
		Action: runQuickstart,
	}
}

func runQuickstart(ctx context.Context, command *cli.Command) error {
	listen, err := listenAddress(command)
	if err != nil {
		return err
	}
	settings := launcher.Settings{Listen: listen}
	if command.Bool("log") {
		settings.LogOutput = os.Stderr
		settings.DebugComponents = command.StringSlice("log-output")
	}
	fleet, err := launcher.Start(ctx, settings)
	if err != nil {
		return err
	}
	defer func() { _ = fleet.Close() }()
	printFleet(fleet)
	if command.Bool("once") {
		return runBatchOnce(ctx, fleet)
	}
	<-ctx.Done()
	fmt.Println("stopping")
	return nil
}

func printFleet(fleet *launcher.Fleet) {
	fmt.Println("callers' ports:")
	for _, url := range fleet.URLs() {
		fmt.Println(" ", url)
	}
	fmt.Println("try:")
	fmt.Printf("  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		fleet.URL(), launcher.DemoKey, launcher.DemoModel)
	fmt.Printf("  curl %s/services/orders/place -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -H 'Idempotency-Key: order-1' -d '{\"item\":\"wheel\"}'\n",
		fleet.URL(), launcher.DemoKey)
	printOperatorPorts(fleet)
}

// printOperatorPorts prints the operators' ports and example commands for them.
func printOperatorPorts(fleet *launcher.Fleet) {
	fmt.Println("operators' ports:")
	addresses := make([]string, 0, len(fleet.Daemons))
	for _, daemon := range fleet.Daemons {
		addresses = append(addresses, daemon.OperatorsAddress().String())
		fmt.Println(" ", daemon.OperatorsAddress())
	}
	fmt.Println("try:")
	fmt.Printf("  export RILL_DAEMONS=%s\n", strings.Join(addresses, ","))
	for _, arguments := range []string{
		"status",
		"get",
		"explain --account " + launcher.DemoAccount + " --model " + launcher.DemoModel,
		"drain --wait engine-1",
		"drain --undo --wait engine-1",
	} {
		fmt.Printf("  go run ./cmd/rillctl %s\n", arguments)
	}
}

// runBatchOnce sends the batch and prints its counts as one JSON object on the last line of the output.
func runBatchOnce(ctx context.Context, fleet *launcher.Fleet) error {
	counts := fleet.RunBatch(ctx)
	encoded, err := launcher.EncodeCounts(counts)
	if err != nil {
		return err
	}
	fmt.Println(string(encoded))
	if !counts.AnswersCorrect() {
		return cli.Exit("answers were lost, doubled or mixed", 1)
	}
	return nil
}
