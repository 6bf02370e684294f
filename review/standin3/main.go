// Command standin3 plays the cases of the third review: it starts daemons with the command of the deploy file, and is the platform's store,
// the replicas and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken is returned by a case in which a rule was broken.
var errBroken = errors.New("the rule was broken")

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by the number of their folder. Each plays with the disruption or without it.
var cases = map[string]func(f *fleet, trouble bool) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RILLD RECORD")
		return exitFailed
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	f, err := newFleet(folder, os.Args[2], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.end()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, trouble %t, logs in %s", os.Args[1], trouble, folder)
	err = cases[os.Args[1]](f, trouble)
	switch {
	case err == nil:
		f.note("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		f.note("%v", err)
		return exitBroken
	}
	f.note("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
