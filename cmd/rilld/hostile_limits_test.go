package main_test

import (
	"testing"
	"time"
)

const (
	// limitBeyondMemory is a limit on bodies that no host of the tests can hold, and bodyBeyondMemory a body within it.
	limitBeyondMemory = 1 << 30
	bodyBeyondMemory  = 128 << 20
	// applyTime is left to the daemon to read a changed configuration.
	applyTime = 3 * time.Second
	// limitChanges is how often the limit changes while a crowd sends, limitPause is the time between two changes.
	limitChanges = 12
	limitPause   = 300 * time.Millisecond
)

// casesBeyondMemory are crowds whose bodies are within a limit that is larger than the memory of the host. The memory has room for one body of
// fitting bytes.
func casesBeyondMemory(head string, fitting int) []hostileCase {
	return []hostileCase{
		{"whole bodies that fit", "callers", 4, sendBody(head, fitting, 0, 0)},
		{"whole body", "callers", 1, sendBody(head, bodyBeyondMemory, 0, 0)},
		{"bodies one byte short", "callers", 4, sendBody(head, bodyBeyondMemory, 1, 0)},
		{"chunked bodies", "callers", 4, sendChunks(head, 256<<10, bodyBeyondMemory, "", "")},
	}
}

// Guards against a limit of the platform's configuration that is larger than the memory of the host: one legal body would end the process.
func TestLimitsOfFrontBeyondMemory(t *testing.T) {
	checkCases(t, casesBeyondMemory(order, 28_000_000), func(t *testing.T, folder string) *hostile {
		h := startHostileFront(t, folder)
		h.limitBodies(limitBeyondMemory)
		time.Sleep(applyTime)
		return h
	})
}

// Guards against the same for the settings of rilld serve.
func TestLimitsOfServeBeyondMemory(t *testing.T) {
	checkCases(t, casesBeyondMemory(chat, 20_000_000), func(t *testing.T, folder string) *hostile {
		h := startServe(t, folder, serveHost{memoryBytes: serveMemory, bodyBytes: limitBeyondMemory})
		h.largestBody = serveBody
		return h
	})
}

// Guards against bodies that are admitted by one limit and read by another: the limit changes while the crowd sends.
func TestLimitsThatChangeStayWithinMemory(t *testing.T) {
	h := startHostileFront(t, newProcesses(t).folder)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := range limitChanges {
			h.limitBodies([]int{limitBeyondMemory, hostileBody, hostileBody / 2}[i%3])
			time.Sleep(limitPause)
		}
		h.limitBodies(hostileBody)
	}()
	h.check(hostileCase{"bodies while the limit changes", "callers", 40, sendBody(order, hostileBody, 1, piecePause)})
	<-changed
}
