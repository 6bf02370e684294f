// Command standin2 plays the cases of the second review: it starts daemons of the project as processes of their own, with stand-ins
// for the platform's store, replicas and clients beside them, and checks one rule of the users' pages.
//
// # Usage
//
//	standin2 CASE --folder FOLDER [--trouble none]
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays one case. It returns the breaches of the rule that it saw.
type scenario func(w *world, t trouble) (breaches []string, err error)

// trouble says which disruptions happen.
type trouble struct{ cut, kill bool }

var scenarios = map[string]scenario{
	"take-up-after-cut":      takeUpAfterCut,
	"take-up-of-cut-off":     takeUpOfCutOff,
	"long-bodies":            longBodies,
	"last-tenant":            lastTenant,
	"leaving-behind-silence": leavingBehindSilence,
}

// longestCase bounds the time of a case.
const longestCase = 110 * time.Second

// closeInTime ends the process, and all that it started, when it is told to or when the case takes too long.
func (w *world) closeInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longestCase):
	}
	w.note("the case was ended from outside or took too long")
	_ = w.close() // The process ends.
	os.Exit(2)
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		var broken *brokenError
		if errors.As(err, &broken) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}

// brokenError reports that the rule was broken.
type brokenError struct{ breaches []string }

// Error counts the breaches.
func (e *brokenError) Error() string {
	return fmt.Sprintf("the rule was broken: %d breaches", len(e.breaches))
}

func run(arguments []string) (err error) {
	if len(arguments) == 0 {
		return errors.New("no case is named")
	}
	play, known := scenarios[arguments[0]]
	if !known {
		return fmt.Errorf("no case %q", arguments[0])
	}
	flags := flag.NewFlagSet(arguments[0], flag.ContinueOnError)
	folder := flags.String("folder", ".", "folder of record.txt")
	disruption := flags.String("trouble", "all", "which disruptions happen: all, none, or kill without the rest")
	if err := flags.Parse(arguments[1:]); err != nil {
		return err
	}
	w, err := newWorld(*folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, w.close()) }()
	go w.closeInTime()
	w.note("case %s, disruptions: %s", arguments[0], *disruption)
	breaches, err := play(w, trouble{cut: *disruption == "all", kill: *disruption != "none"})
	if err != nil {
		w.note("the case could not run: %v", err)
		return err
	}
	for _, breach := range breaches {
		w.note("BROKEN: %s", breach)
	}
	if len(breaches) > 0 {
		return &brokenError{breaches: breaches}
	}
	w.note("the rule held")
	return nil
}
