package runner

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

const (
	sweepInterval = 10 * time.Minute
	// maxReportedCalls bounds the set of unsettled calls that are already recorded. The set is
	// cleared once it is larger.
	maxReportedCalls   = 10_000
	codeOutcomeUnknown = "outcome_unknown"
)

// sweepLedger sweeps the ledger periodically on the leader of the data centre. A sweep deletes old
// outcomes, settles calls without an outcome if their service can report it, and records the
// remaining ones.
func (d *Daemon) sweepLedger() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	reported := make(map[string]bool)
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
		}
		if d.commander.IsLeader() {
			d.sweep(reported)
		}
	}
}

func (d *Daemon) sweep(reported map[string]bool) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepInterval)
	var canceller conc.WaitGroup
	defer canceller.Wait()
	defer cancel()
	canceller.Go(func() {
		select {
		case <-d.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	report, err := d.ledger.Sweep(ctx)
	log := d.observer.Log("dispatcher")
	if err != nil {
		log.Info("dispatcher: sweep ended early", "seen", report.Seen, "error", err)
	}
	log.Info("dispatcher: ledger swept", "seen", report.Seen, "deleted", report.Deleted, "settled", report.Settled, "unsettled", len(report.Unsettled))
	if len(reported) > maxReportedCalls {
		clear(reported)
	}
	for _, call := range report.Unsettled {
		if !reported[call.RequestID] {
			reported[call.RequestID] = true
			d.recorder.Record(unsettledEntry(call))
		}
	}
}

func unsettledEntry(call dispatcher.Unsettled) reporter.Entry {
	return reporter.Entry{
		Time:    call.Created,
		Account: call.Account,
		Kind:    reporter.KindUnsettled,
		Code:    codeOutcomeUnknown,
		Run:     reporter.MayHaveRun,
		Subject: call.Service + "/" + call.Operation,
	}
}
