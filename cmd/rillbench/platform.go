package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// platformHeaderTimeout bounds the time to read the header of a request.
const platformHeaderTimeout = 10 * time.Second

// platformCommand returns the command that serves the platform emulator.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve an emulator of the platform's key-value service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "address to listen on"},
			&cli.StringFlag{Name: "hosts", Usage: "JSON file with the host list, in the format of the response to GET /v1/hosts"},
			&cli.FloatFlag{Name: "reads-per-second", Usage: "limit on reads, 0 for no limit"},
			&cli.FloatFlag{Name: "writes-per-second", Usage: "limit on writes, 0 for no limit"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	hosts, err := readHosts(command.String("hosts"))
	if err != nil {
		return err
	}
	platform := platformemulator.New(platformemulator.Settings{
		ReadsPerSecond:  command.Float("reads-per-second"),
		WritesPerSecond: command.Float("writes-per-second"),
		Hosts:           hosts,
	})
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return err
	}
	fmt.Printf("platform: listening on %s\n", listener.Addr())
	return servePlatform(ctx, listener, platform.Handler())
}

// servePlatform serves until ctx ends. Requests inherit ctx, so that waiting watches end with it.
func servePlatform(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: platformHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	var group conc.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	served := make(chan error, 1)
	group.Go(func() { served <- server.Serve(listener) })
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// hostListFile is the format of the host list file.
type hostListFile struct {
	Hosts []struct {
		Name       string     `json:"name"`
		Address    netip.Addr `json:"address"`
		DataCentre string     `json:"data_centre"`
		State      string     `json:"state"`
	} `json:"hosts"`
}

func readHosts(path string) ([]storer.Host, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file hostListFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var hosts []storer.Host
	for _, entry := range file.Hosts {
		state := storer.HostLive
		if entry.State == "leaving" {
			state = storer.HostLeaving
		}
		hosts = append(hosts, storer.Host{
			Name:       entry.Name,
			Address:    entry.Address,
			DataCentre: entry.DataCentre,
			State:      state,
		})
	}
	return hosts, nil
}
