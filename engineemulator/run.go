package engineemulator

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// Finish reasons of a run.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// runState is the phase of a run.
type runState int

const (
	runWaiting runState = iota
	runPrefilling
	runDecoding
	runEnded
)

// run is the generation of one answer.
type run struct {
	id         string
	account    string
	weights    string
	adapter    string
	model      string
	promptHash uint64
	chain      []hasher.Block

	promptTokens int
	// priority is set by the caller; runs of higher priority are scheduled first.
	priority int
	// acceptSeq numbers the runs in the order of acceptance.
	acceptSeq uint64
	deadline  time.Time
	// firstToken is the position of the first token that this run generates, endToken the
	// position after its last. firstToken is above zero when the run continues an answer.
	firstToken int
	endToken   int

	state           runState
	cachedTokens    int
	prefilledTokens int
	storedBlocks    int
	// generatedTokens is the length of the answer, including the tokens before firstToken.
	generatedTokens int
	finishReason    string
	// failure is why the run ended early; it is empty for a completed run.
	failure string
	endedAt time.Time
	// changed is closed and replaced whenever the run changes.
	changed chan struct{}
}

// notify wakes the readers that wait for a change of the run. The caller holds mu.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// remainingPromptTokens returns the number of prompt tokens that are not prefilled yet.
func (r *run) remainingPromptTokens() int { return r.promptTokens - r.prefilledTokens }

// runView is a copy of the fields of a run that its readers use.
type runView struct {
	state           runState
	generatedTokens int
	cachedTokens    int
	finishReason    string
	failure         string
	changed         <-chan struct{}
}

func (e *Engine) view(r *run) runView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return runView{
		state:           r.state,
		generatedTokens: r.generatedTokens,
		cachedTokens:    r.cachedTokens,
		finishReason:    r.finishReason,
		failure:         r.failure,
		changed:         r.changed,
	}
}
