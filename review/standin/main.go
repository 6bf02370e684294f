// Command standin runs the cases of the review: it starts the project's daemons as separate processes, stand-ins for the
// platform's store, the replicas and the clients in its own process, and judges what these saw on their sockets.
//
//	standin CASE RECORD
//
// CASE is the name of a case, and RECORD the file to write. With TROUBLE=0 the case has no disruption. The exit
// status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name; each file with a case adds its own.
var cases = make(map[string]func(*world) (broken bool, err error))

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[os.Args[1]](w)
	if err != nil {
		w.note("cannot run", "error", err.Error())
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitFailed
	}
	if broken {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// record writes what was sent, answered and run, a JSON object a line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// note writes a line with pairs of names and values.
func (r *record) note(what string, pairs ...any) {
	line := map[string]any{"t": float64(time.Since(r.start).Milliseconds()) / 1000, "what": what}
	for i := 0; i+1 < len(pairs); i += 2 {
		line[pairs[i].(string)] = pairs[i+1]
	}
	text, err := json.Marshal(line)
	if err != nil {
		text = []byte(fmt.Sprintf("%q", err.Error()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(text, '\n')) // The verdict doesn't depend on the record.
}
