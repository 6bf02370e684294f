package main_test

import (
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// leavers is how many clients leave while their calls wait, and come back with others.
	leavers    = 20
	callsEach  = 20
	leaveAfter = 100 * time.Millisecond
)

// call is the head of a call that runs at most once. The daemon goes on with it when its caller has left.
const call = "POST " + placePath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer other-key\r\nIdempotency-Key: %s\r\nContent-Type: application/json\r\n"

// Guards against callers who leave when they have sent a large body, while the service or the store stands still: their calls go on and hold the
// bodies.
func TestCallsOfCallersWhoLeftStayWithinMemory(t *testing.T) {
	folder := newProcesses(t).folder
	for _, silent := range []string{"service", "platform"} {
		t.Run(silent, func(t *testing.T) {
			h := startHostileServe(t, folder)
			h.signal(silent, syscall.SIGSTOP)
			watch := watchProcess(h.running["daemon"].command.Process.Pid, h.ports["callers"])
			crowd := h.startCrowd(hostileCase{silent, "callers", leavers, leaving(sendBody(call, serveBody, 0, 0))})
			crowd.playing.Wait()
			crowd.leave()
			h.checkPeak(silent, watch.end())
			h.signal(silent, syscall.SIGCONT)
			h.expectAnswer(0)
			h.expectRest()
		})
	}
}

// leaving plays a client that leaves soon after what it has sent, and comes back.
func leaving(play hostileClient) hostileClient {
	return func(conn net.Conn, h *hostile) {
		for range callsEach {
			play(conn, h)
			time.Sleep(leaveAfter)
			_ = conn.Close()
			if conn = dialWhenOpen(h.ports["callers"]); conn == nil {
				return
			}
		}
		_ = conn.Close()
	}
}
