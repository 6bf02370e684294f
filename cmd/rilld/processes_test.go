package main_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/listener"
)

// startTimeout bounds the time until the port of a started process answers.
const startTimeout = 15 * time.Second

// processes builds the programs into the test's temporary directory and runs them as processes.
type processes struct {
	t       *testing.T
	folder  string
	running map[string]*process
}

// process is one running program.
type process struct {
	command *exec.Cmd
	output  *lockedBuffer
	done    chan struct{}
	// ended is set before the test ends the process. state is how the process ended; it is set before done is closed.
	ended atomic.Bool
	state string
}

// lockedBuffer collects the output of a process from concurrent writers.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func newProcesses(t *testing.T) *processes {
	t.Helper()
	p := &processes{t: t, folder: t.TempDir(), running: make(map[string]*process)}
	for _, program := range []string{"rilld", "rillctl", "rillbench"} {
		build := exec.Command("go", "build", "-o", filepath.Join(p.folder, program), "../"+program)
		if output, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, output)
		}
	}
	t.Cleanup(p.close)
	return p
}

// start starts a program in the background and registers it under the name.
func (p *processes) start(name, program string, arguments ...string) {
	p.t.Helper()
	started := &process{
		command: exec.Command(filepath.Join(p.folder, program), arguments...),
		output:  &lockedBuffer{},
		done:    make(chan struct{}),
	}
	started.command.Stdout = started.output
	started.command.Stderr = started.output
	if err := started.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.running[name] = started
	go func() {
		defer close(started.done)
		_ = started.command.Wait()
		started.state = fmt.Sprintf("%s: %s at %s", name, started.command.ProcessState, time.Now().Format(time.StampMicro))
		if !started.ended.Load() {
			p.t.Logf("a process that the test did not end: %s (id %d)", started.state, started.command.Process.Pid)
		}
	}()
}

// signal sends a signal to the named process.
func (p *processes) signal(name string, signal syscall.Signal) {
	p.t.Helper()
	if err := p.running[name].command.Process.Signal(signal); err != nil {
		p.t.Fatalf("signal %s: %v", name, err)
	}
}

// kill sends SIGKILL to the named process and waits for its end.
func (p *processes) kill(name string) {
	p.t.Helper()
	p.running[name].ended.Store(true)
	p.signal(name, syscall.SIGKILL)
	<-p.running[name].done
	delete(p.running, name)
}

func (p *processes) close() {
	for name, running := range p.running {
		running.ended.Store(true)
		_ = running.command.Process.Signal(syscall.SIGCONT)
		_ = running.command.Process.Kill()
		<-running.done
		if p.t.Failed() {
			p.t.Logf("%s, %s:\n%s", name, running.state, running.output)
		}
	}
}

// run runs a program to its end and returns its output.
func (p *processes) run(program string, arguments ...string) (output string, err error) {
	p.t.Helper()
	command := exec.Command(filepath.Join(p.folder, program), arguments...)
	combined, err := command.CombinedOutput()
	return string(combined), err
}

// write creates a file in the test's temporary directory and returns its path.
func (p *processes) write(name, content string) string {
	p.t.Helper()
	path := filepath.Join(p.folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return path
}

// await polls the URL until it answers with status 200.
func (p *processes) await(url string) {
	p.t.Helper()
	p.awaitBy(http.DefaultClient, url)
}

// awaitBy polls the URL with a client until it answers with status 200.
func (p *processes) awaitBy(client *http.Client, url string) {
	p.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.t.Fatalf("%s did not answer with status 200 within %s", url, startTimeout)
}

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := listener.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address.String()
}

// jsonStrings returns the addresses as JSON strings, separated by commas, without the brackets of an array.
func jsonStrings(addresses []string) string {
	text := ""
	for i, address := range addresses {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", address)
	}
	return text
}
