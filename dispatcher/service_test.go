package dispatcher_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
)

// Faults of the service. Each call of serve takes the next fault from service.faults.
const (
	faultNone        = "none"
	faultNotSent     = "connection refused"
	faultNotRun      = "refused before the run"
	faultCrashBefore = "crash before the run"
	faultCrashAfter  = "crash after the run"
	faultLateAnswer  = "late answer"
	faultLateRun     = "run after the connection broke"
)

var allFaults = []string{faultNone, faultNone, faultNotSent, faultNotRun, faultCrashBefore, faultCrashAfter, faultLateAnswer, faultLateRun}

// service records its runs. It refuses a key once a look-up has found that the key had not run.
type service struct {
	faults []string

	mu       sync.Mutex
	runs     []run
	inFlight map[string]int
	answers  map[string]dispatcher.Answer
	refused  map[string]bool
}

func keyOf(call dispatcher.Call) string { return call.Account + "/" + call.Key }

func (s *service) nextFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return faultNone
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *service) serve(ctx context.Context, f *fleet, call dispatcher.Call) (dispatcher.Answer, error) {
	fault := s.nextFault()
	f.countReached("service: " + fault)
	lostAnswer := &dispatcher.LostAnswerError{Cause: errors.New(fault)}
	switch fault {
	case faultNotSent:
		return dispatcher.Answer{}, &dispatcher.NotSentError{Cause: errors.New(fault)}
	case faultNotRun:
		return dispatcher.Answer{}, &dispatcher.NotRunError{Cause: errors.New(fault)}
	case faultCrashBefore:
		return dispatcher.Answer{}, lostAnswer
	case faultCrashAfter:
		_, _ = s.execute(f, call)
		return dispatcher.Answer{}, lostAnswer
	case faultLateRun:
		time.AfterFunc(700*time.Millisecond, func() { _, _ = s.execute(f, call) })
		return dispatcher.Answer{}, lostAnswer
	case faultLateAnswer:
		answer, err := s.execute(f, call)
		select {
		case <-time.After(3 * time.Second):
			return answer, err
		case <-ctx.Done():
			return dispatcher.Answer{}, lostAnswer
		}
	}
	return s.execute(f, call)
}

func (s *service) execute(f *fleet, call dispatcher.Call) (dispatcher.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(call)
	if s.refused[key] {
		f.countReached("service refuses a key after its look-up")
		return dispatcher.Answer{}, &dispatcher.NotRunError{Cause: errors.New("key refused")}
	}
	s.runs = append(s.runs, run{key: key, requestID: call.RequestID, at: time.Now()})
	answer := answerTo(call)
	s.answers[key] = answer
	return answer, nil
}

// answerTo returns an answer that depends on the account, the key and the body, so that an answer
// to another call is detected.
func answerTo(call dispatcher.Call) dispatcher.Answer {
	return dispatcher.Answer{Status: 200, ContentType: "text/plain", Body: []byte(keyOf(call) + "?" + string(call.Body))}
}

// Lookup implements the look-up of docs/PROTOCOLS.md.
func (s *service) Lookup(_ context.Context, _, account, key string) (dispatcher.Answer, dispatcher.LookupState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, ran := s.answers[account+"/"+key]
	if ran {
		return answer, dispatcher.LookupRan, nil
	}
	s.refused[account+"/"+key] = true
	return dispatcher.Answer{}, dispatcher.LookupNeverRuns, nil
}

func (s *service) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

func (s *service) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

func (s *service) runsOf(match func(run) bool) int {
	count := 0
	for _, r := range s.allRuns() {
		if match(r) {
			count++
		}
	}
	return count
}

func newCall(account, key, body, requestID string, timeout time.Duration) dispatcher.Call {
	return dispatcher.Call{
		Account: account, Service: "orders", Operation: "place", Key: key, Method: "POST", Path: "/place",
		ContentType: "text/plain", Body: []byte(body), BodyDigest: sha256.Sum256([]byte(body)),
		RequestID: requestID, Deadline: time.Now().Add(timeout),
	}
}
