package supervisor_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/supervisor"
)

func TestLoopIsCalledAgainAfterPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		logger := slog.New(slog.NewTextHandler(&log, nil))
		calls, before := 0, supervisor.Panics()
		supervisor.Run(t.Context(), logger, "round", func(context.Context) {
			if calls++; calls < 3 {
				panic("malformed message")
			}
		})
		if calls != 3 || supervisor.Panics()-before != 2 {
			t.Errorf("%d calls, %d panics counted", calls, supervisor.Panics()-before)
		}
		if lines := strings.Count(log.String(), "task=round panic=\"malformed message\""); lines != 2 {
			t.Errorf("%d panics in the log: %s", lines, log.String())
		}
	})
}

func TestLoopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		supervisor.Run(ctx, slog.New(slog.DiscardHandler), "round", func(context.Context) { panic("each time") })
		if ended := time.Since(start); ended != time.Second {
			t.Errorf("ended after %s", ended)
		}
	})
}
