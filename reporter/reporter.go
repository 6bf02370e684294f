// Package reporter records outages and refusals, and reads the record back for operators' reports.
//
// A Recorder collects the entries of one daemon. About once a second it sends a copy of the entries
// that are not yet stored to peers, and once a minute it writes a batch to the platform. A Holder
// keeps the copies of other daemons and writes them when their daemon has died. Both write a batch
// under the same key with a version that grows with its entries, and a lower version never replaces
// a higher one, so that no entry is stored twice, whichever daemon writes it. A Reader reads the
// batches of a time span. It infers from the sequence numbers which batches are missing, and reports
// each time span that they covered as a Gap.
//
// Entries that a daemon recorded after its last copy are lost if it is killed. Its record then has
// no final batch, which the Reader reports as a Gap with an open end.
//
// # Usage
//
//	recorder, err := reporter.NewRecorder(settings, store, peers)
//	defer recorder.Close()
//	recorder.Record(reporter.Entry{Kind: reporter.KindRefusal, Account: "demo", Code: "full", Run: reporter.NotRun})
//	recorder.ObserveOutage("demo-model", "no_target")
//	recorder.EndOutage("demo-model", "no_target")
//
// A report is read with:
//
//	report, err := reporter.NewReader(store).Read(ctx, from, to)
package reporter

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("reporter")

// Kind classifies an entry.
type Kind string

// The kinds of entries.
const (
	// KindRefusal is a request that was answered with an error.
	KindRefusal Kind = "refusal"
	// KindOutage is a time span in which a target, model or service that callers need was
	// unavailable.
	KindOutage Kind = "outage"
	// KindGap is a time span for which a daemon itself reports that it recorded nothing. The Gaps of
	// a Report are not entries: the Reader infers them from missing batches.
	KindGap Kind = "gap"
	// KindUnsettled is a non-idempotent call whose outcome is unknown.
	KindUnsettled Kind = "unsettled"
)

// Run states whether the call of an entry was executed.
type Run string

// The values of Run. RunNone is for entries that are not about a single call, such as outages.
const (
	RunNone    Run = ""
	NotRun     Run = "not_run"
	MayHaveRun Run = "may_have_run"
)

// CodeOverflow is the code of an entry that counts entries which were dropped to bound memory. Only
// their kind, run, count and time span are kept. The limit on the entries of a batch is twice as
// high for outages, so they are dropped last. A dropped outage is counted when it ends. An outage
// that is listed in an earlier batch may thereby be counted twice.
const CodeOverflow = "more"

// Entry is one line of the record. The entries of a batch that have the same Account, Kind, Code, Run
// and Subject are merged into one Entry; outages must also have the same Time.
type Entry struct {
	// Time is the first occurrence, and Until the last one. Zero means now.
	Time  time.Time
	Until time.Time
	// Daemon and DataCentre are set by the Recorder.
	Daemon     string
	DataCentre string
	Account    string
	Kind       Kind
	// Code is the machine-readable cause, as in the error that the caller received.
	Code string
	Run  Run
	// Subject names the target, model or service that the entry is about, or the platform.
	Subject string
	// Count is the number of occurrences; zero means one.
	Count int
	// Open is set if the outage had not ended when it was last recorded.
	Open bool
}

// Batch is what a daemon recorded in a time span.
type Batch struct {
	Daemon      string
	Incarnation string
	DataCentre  string
	// Sequence numbers the batches of an incarnation consecutively from 1.
	Sequence uint64
	// Version increases with every change of the batch.
	Version uint64
	From    time.Time
	To      time.Time
	// Final marks the last batch of a daemon that was closed properly.
	Final   bool
	Entries []Entry
	// keyMinute is the last minute that the batch covers; it is part of the key.
	keyMinute time.Time
	// index maps keys to positions in Entries. It is built on first use.
	index map[entryKey]int
}

// Copy is an encoded batch that is sent to peers.
type Copy struct {
	Key         string
	Daemon      string
	Incarnation string
	Version     uint64
	Data        []byte
}

// Store is the subset of the platform's client that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix, after string, limit int) (storer.Page, error)
	Create(ctx context.Context, key string, value []byte, lease storer.LeaseID) (storer.Version, error)
	Swap(ctx context.Context, key string, value []byte, expected storer.Version, lease storer.LeaseID) (storer.Version, error)
}

// Peers replicates batches to other daemons.
type Peers interface {
	// CopyRecord sends the copy to peers and returns how many of them hold it.
	CopyRecord(ctx context.Context, batch Copy) (copies int, err error)
	// DropRecord asks the holders to drop their copies because the batch is stored.
	DropRecord(ctx context.Context, key string) error
}

// Settings are the settings of a Recorder.
type Settings struct {
	// Daemon and DataCentre name the daemon; both are required.
	Daemon     string
	DataCentre string
	// Incarnation identifies one run of the daemon; random by default.
	Incarnation string
	// CopyInterval is the minimum time between two copies; one second by default.
	CopyInterval time.Duration
	// CopyBytesPerSecond bounds the rate of copies by extending the interval between them; 4096 by
	// default.
	CopyBytesPerSecond int
	// RefreshInterval is how often the copies of unstored batches are sent again; 30 s by default.
	RefreshInterval time.Duration
	// QuietInterval is the maximum time between two batches of a daemon that has no entries;
	// 10 minutes by default. It must be the same for all daemons.
	QuietInterval time.Duration
	// WriteSpread is the interval after each minute over which the daemons spread their writes;
	// 20 s by default.
	WriteSpread time.Duration
	// MaxEntries bounds the entries of a batch; 500 by default.
	MaxEntries int
	// MaxPendingEntries bounds the entries of all sealed batches that are not yet stored; 5000 by
	// default. No entries are added to a batch once it is sealed.
	MaxPendingEntries int
	// MaxPendingBatches bounds the sealed batches that are not yet stored; 2048 by default.
	MaxPendingBatches int
	// CallTimeout bounds one call to the platform or to peers; 2 s by default.
	CallTimeout time.Duration
	// CloseTimeout bounds the last copies and writes in Close; 5 s by default.
	CloseTimeout time.Duration
}
