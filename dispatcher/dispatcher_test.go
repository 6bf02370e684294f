package dispatcher_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// withFleet runs a test in a fleet with the given number of hosts, whose service injects the
// faults.
func withFleet(t *testing.T, hosts int, faults []string, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(plan{Hosts: hosts, ServiceFaults: faults})
		for i := range hosts {
			f.start(i, nil)
		}
		test(t, f)
		for _, h := range f.allHosts {
			h.d.Close()
		}
		if len(f.violations) > 0 {
			t.Error(f.violations)
		}
	})
}

func dispatch(h *host, key, body string) (dispatcher.Answer, *dispatcher.RefusedError) {
	answer, err := h.d.Dispatch(context.Background(), newCall("a", key, body, "request", 5*time.Second))
	var refused *dispatcher.RefusedError
	errors.As(err, &refused)
	return answer, refused
}

func TestRefusesBadKeys(t *testing.T) {
	withFleet(t, 1, nil, func(t *testing.T, f *fleet) {
		for _, key := range []string{"", "a b", "a\n", "é", "\x7f", strings.Repeat("k", dispatcher.MaxKeyBytes+1)} {
			_, refused := dispatch(f.host(0), key, "wheel")
			if refused == nil || refused.Code != dispatcher.CodeBadKey || refused.Run != dispatcher.NotRun {
				t.Errorf("key %q: %v", key, refused)
			}
		}
		if _, refused := dispatch(f.host(0), strings.Repeat("~", dispatcher.MaxKeyBytes), "wheel"); refused != nil {
			t.Error(refused)
		}
	})
}

func TestRepeatAtOtherDaemonGetsStoredOutcome(t *testing.T) {
	withFleet(t, 2, []string{faultNotSent, faultNotRun}, func(t *testing.T, f *fleet) {
		first, _ := dispatch(f.host(0), "k", "wheel")
		again, refused := dispatch(f.host(1), "k", "wheel")
		if refused != nil || !again.Repeated || first.Repeated || !bytes.Equal(again.Body, first.Body) {
			t.Errorf("first %+v, again %+v, %v", first, again, refused)
		}
		_, refused = dispatch(f.host(1), "k", "spoke")
		if refused == nil || refused.Code != dispatcher.CodeKeyReused || refused.Run != dispatcher.NotRun {
			t.Errorf("other body: %v", refused)
		}
		if len(f.service.allRuns()) != 1 {
			t.Errorf("%d runs", len(f.service.allRuns()))
		}
	})
}

func TestRefusesPromptlyDuringOutage(t *testing.T) {
	withFleet(t, 1, nil, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(platformemulator.Faults{Outage: true})
		started := time.Now()
		_, refused := dispatch(f.host(0), "k", "wheel")
		if refused == nil || refused.Run != dispatcher.NotRun || refused.Code != dispatcher.CodePlatformUnavailable {
			t.Errorf("refusal %v", refused)
		}
		if took := time.Since(started); took > 2*dispatcher.DefaultStoreWait {
			t.Errorf("refused after %v", took)
		}
	})
}

// TestKeepsOutcomeDuringOutage starts an outage of the platform while the service runs a call. The
// daemon must keep the outcome during the outage and store it afterwards.
func TestKeepsOutcomeDuringOutage(t *testing.T) {
	withFleet(t, 2, []string{faultLateAnswer}, func(t *testing.T, f *fleet) {
		time.AfterFunc(time.Second, func() { f.platform.SetFaults(platformemulator.Faults{Outage: true}) })
		if _, refused := dispatch(f.host(0), "k", "wheel"); refused != nil {
			t.Error(refused)
		}
		time.Sleep(10 * time.Minute)
		f.platform.SetFaults(platformemulator.Faults{})
		if answer, refused := dispatch(f.host(1), "k", "wheel"); refused != nil || !answer.Repeated {
			t.Errorf("answer %+v, refusal %v", answer, refused)
		}
	})
}

func TestRetiredKeyIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(plan{Hosts: 1, ServiceFaults: []string{faultCrashBefore}})
		h := f.start(0, f.service)
		for range 3 {
			_, refused := dispatch(h, "k", "wheel")
			if refused == nil || refused.Code != dispatcher.CodeKeyRetired || refused.Run != dispatcher.NotRun {
				t.Errorf("refusal %v", refused)
			}
		}
		h.d.Close()
		if f.reached["service refuses a key after its look-up"] > 0 {
			t.Error("a retired key was sent again")
		}
	})
}

// staleStore drops one write of the second attempt's outcome, and then returns the record of the
// first attempt to one read.
type staleStore struct {
	*platformemulator.Platform
	firstAttempt storer.Item
	loseOutcome  bool
	staleNext    bool
}

func (s *staleStore) Get(ctx context.Context, key string) (storer.Item, error) {
	if s.staleNext {
		s.staleNext = false
		return s.firstAttempt, nil
	}
	return s.Platform.Get(ctx, key)
}

func (s *staleStore) Swap(ctx context.Context, key string, value []byte, expected storer.Version, lease storer.LeaseID) (storer.Version, error) {
	if s.loseOutcome && bytes.Contains(value, []byte(`"state":"done"`)) {
		s.loseOutcome, s.staleNext = false, true
		return 0, &storer.UnknownOutcomeError{Key: key, Cause: errUnreachable}
	}
	version, err := s.Platform.Swap(ctx, key, value, expected, lease)
	if bytes.Contains(value, []byte(`"state":"not_run"`)) {
		s.firstAttempt, _ = s.Platform.Get(ctx, key)
	}
	return version, err
}

// TestStaleReadDoesNotEndTheOutcomeWrite loses the write of an outcome and answers the read that
// follows with the record of an earlier attempt. The daemon must write the outcome again.
func TestStaleReadDoesNotEndTheOutcomeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(plan{Hosts: 1, ServiceFaults: []string{faultNotRun, faultNotRun, faultNotRun}})
		h := f.start(0, nil)
		store := &staleStore{Platform: f.platform}
		d := dispatcher.New(dispatcher.Settings{Daemon: "other", Store: store, Sender: h, Chooser: h})
		call := newCall("a", "k", "wheel", "first", 5*time.Second)
		if _, err := d.Dispatch(t.Context(), call); err == nil {
			t.Error("first attempt was not refused")
		}
		synctest.Wait()
		store.loseOutcome = true
		if _, err := d.Dispatch(t.Context(), call); err != nil {
			t.Error(err)
		}
		d.Close()
		if answer, refused := dispatch(h, "k", "wheel"); refused != nil || !answer.Repeated {
			t.Errorf("repeat: %+v, %v", answer, refused)
		}
		h.d.Close()
	})
}

func TestSweepDeletesOldOutcomes(t *testing.T) {
	withFleet(t, 1, []string{faultNone, faultCrashAfter}, func(t *testing.T, f *fleet) {
		_, _ = dispatch(f.host(0), "k", "wheel")
		_, _ = dispatch(f.host(0), "broken", "wheel")
		// The caller gets the answer before the outcome is stored. synctest.Wait lets the write
		// finish without advancing the clock.
		synctest.Wait()
		unsettled, err := f.host(0).d.Unsettled(t.Context())
		if err != nil || len(unsettled) != 1 || unsettled[0].State != dispatcher.StateMayHaveRun {
			t.Errorf("unsettled %+v, %v", unsettled, err)
		}
		time.Sleep(dispatcher.DefaultRetention + time.Hour)
		report, err := f.host(0).d.Sweep(t.Context())
		if err != nil || report.Deleted != 1 || len(report.Unsettled) != 1 {
			t.Errorf("report %+v, %v", report, err)
		}
	})
}

// TestPlatformCallsPerOrder checks how many platform calls one call to the service "orders" makes.
// Together with the platform's rate limits, that number bounds the rate of such calls in the fleet.
func TestPlatformCallsPerOrder(t *testing.T) {
	withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		for range 100 {
			_, _ = dispatch(f.host(0), rand.Text(), "wheel")
		}
		synctest.Wait()
		calls := f.platform.Calls()
		if calls[platformemulator.CallCreate] != 100 || calls[platformemulator.CallSwap] != 100 || calls[platformemulator.CallGet] != 0 {
			t.Errorf("100 orders: %v", calls)
		}
		_, _ = dispatch(f.host(0), "k", "wheel")
		synctest.Wait()
		_, _ = dispatch(f.host(1), "k", "wheel")
		calls = f.platform.Calls()
		if calls[platformemulator.CallCreate] != 102 || calls[platformemulator.CallSwap] != 101 || calls[platformemulator.CallGet] != 1 {
			t.Errorf("one order and its repeat: %v", calls)
		}
	})
}
