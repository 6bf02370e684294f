package quarantiner_test

import (
	"context"
	"crypto/sha256"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/quarantiner"
)

func TestCallRunsAtOtherTargetAfterRunEnded(t *testing.T) {
	for _, outcome := range []quarantiner.Outcome{quarantiner.NotStarted, quarantiner.Cancelled} {
		q := quarantiner.New(quarantiner.Settings{Daemon: "d"})
		fingerprint := quarantiner.NewFingerprint("a", sha256.Sum256([]byte("question")))
		release, err := q.Begin(context.Background(), fingerprint, "t1", "i1")
		if err != nil {
			t.Fatal(err)
		}
		release(outcome)
		release, err = q.Begin(context.Background(), fingerprint, "t2", "i1")
		if err != nil {
			t.Errorf("after outcome %d the call may not run at another target: %v", outcome, err)
		} else {
			release(quarantiner.Completed)
		}
		q.Close()
	}
}
