package reporter

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"
)

const (
	itemsPerPage = 500
	// afterLastDay sorts after any day, and thus after all keys of a data centre.
	afterLastDay = ":"
	// storeDelay is the time allowed for storing a batch after the quiet interval.
	storeDelay = 2 * time.Minute
)

// Gap is a time span in which entries of a daemon may be missing.
type Gap struct {
	Daemon      string
	Incarnation string
	DataCentre  string
	From        time.Time
	// To is zero if the end is unknown because the daemon did not write a final batch.
	To time.Time
	// Batches is the number of missing batches, or zero if unknown.
	Batches uint64
}

// Report contains the entries recorded in a time span, such as outages and refusals, and the gaps in
// which entries may be missing.
type Report struct {
	From    time.Time
	To      time.Time
	Entries []Entry
	Gaps    []Gap
}

// Reader reads the recorded batches from the platform's store.
type Reader struct {
	// QuietInterval must equal that of the recorders; 10 minutes by default. A daemon without entries
	// writes a batch at least this often. If no batch follows one that is not final within this
	// interval and storeDelay, the reader infers that the daemon stopped, and reports a gap.
	QuietInterval time.Duration
	store         Store
}

// NewReader returns a reader of the store with the default QuietInterval.
func NewReader(store Store) *Reader {
	return &Reader{QuietInterval: defaultQuietInterval, store: store}
}

// Read returns the entries between from and to, and the gaps in which entries may be missing. If
// the platform cannot be read, it returns an error and never part of a report.
func (r *Reader) Read(ctx context.Context, from, to time.Time) (report Report, err error) {
	defer Error.WrapP(&err)
	lookaround := r.QuietInterval + storeDelay
	batches, err := r.load(ctx, from.Add(-lookaround), to.Add(lookaround))
	if err != nil {
		return Report{}, err
	}
	report = Report{From: from, To: to}
	report.Entries = entriesWithin(batches, from, to)
	report.Gaps = r.gaps(batches, from, to)
	return report, nil
}

// load reads the batches of all data centres for the days that the time span touches.
func (r *Reader) load(ctx context.Context, from, to time.Time) (batches []Batch, err error) {
	after := ""
	for {
		page, err := r.store.List(ctx, keyPrefix, after, 1)
		if err != nil {
			return nil, err
		}
		if len(page.Items) == 0 {
			return batches, nil
		}
		suffix := strings.TrimPrefix(page.Items[0].Key, keyPrefix)
		dataCentre, _, _ := strings.Cut(suffix, "/")
		found, err := r.loadDataCentre(ctx, dataCentre, from, to)
		if err != nil {
			return nil, err
		}
		batches = append(batches, found...)
		after = keyPrefix + dataCentre + "/" + afterLastDay
	}
}

func (r *Reader) loadDataCentre(ctx context.Context, dataCentre string, from, to time.Time) (batches []Batch, err error) {
	last := to.UTC().Format(dayLayout)
	for day := from.UTC(); day.Format(dayLayout) <= last; day = day.AddDate(0, 0, 1) {
		prefix := keyPrefix + dataCentre + "/" + day.Format(dayLayout) + "/"
		found, err := r.loadPrefix(ctx, prefix)
		if err != nil {
			return nil, err
		}
		batches = append(batches, found...)
	}
	return batches, nil
}

func (r *Reader) loadPrefix(ctx context.Context, prefix string) (batches []Batch, err error) {
	after := ""
	for {
		page, err := r.store.List(ctx, prefix, after, itemsPerPage)
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			batch, err := decodeBatch(item.Value)
			if err != nil {
				return nil, err
			}
			batches = append(batches, batch)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return batches, nil
		}
	}
}

// entriesWithin returns the entries that overlap the time span. An outage that occurs in several
// batches of an incarnation is merged into one entry. Entries of CodeOverflow are not merged across
// batches: their keys contain no start time, so equal keys do not mean the same outage.
func entriesWithin(batches []Batch, from, to time.Time) []Entry {
	slices.SortFunc(batches, compareBatches)
	var entries []Entry
	entryIndex := make(map[incarnationEntryKey]int)
	for i := range batches {
		for _, entry := range batches[i].Entries {
			key := incarnationEntryKey{daemon: entry.Daemon, incarnation: batches[i].Incarnation, entryKey: entryKeyOf(&entry)}
			at, known := entryIndex[key]
			if known && entry.Kind == KindOutage && entry.Code != CodeOverflow {
				entries[at].merge(entry)
				continue
			}
			entryIndex[key] = len(entries)
			entries = append(entries, entry)
		}
	}
	entries = slices.DeleteFunc(entries, func(e Entry) bool { return !e.Time.Before(to) || e.Until.Before(from) })
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return entries
}

// incarnationEntryKey identifies an entry across the batches of an incarnation of a daemon.
type incarnationEntryKey struct {
	daemon      string
	incarnation string
	entryKey    entryKey
}

func compareBatches(a, b Batch) int {
	return cmp.Or(
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Daemon, b.Daemon),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// gaps finds missing batches in the sequence of each incarnation. The batches must be sorted by
// compareBatches.
func (r *Reader) gaps(batches []Batch, from, to time.Time) []Gap {
	var gaps []Gap
	for i := range batches {
		batch := &batches[i]
		first := i == 0 || !sameIncarnation(&batches[i-1], batch)
		last := i == len(batches)-1 || !sameIncarnation(batch, &batches[i+1])
		if first && batch.Sequence > 1 && batch.From.After(from) {
			gaps = append(gaps, gapBefore(batch, from, batch.Sequence-1))
		}
		if !first && batch.Sequence > batches[i-1].Sequence+1 {
			missing := batch.Sequence - batches[i-1].Sequence - 1
			gaps = append(gaps, gapBefore(batch, batches[i-1].To, missing))
		}
		if last && !batch.Final && r.stopped(batch, to) {
			gaps = append(gaps, gapAfter(batch))
		}
	}
	return slices.DeleteFunc(gaps, func(g Gap) bool {
		return !g.From.Before(to) || (!g.To.IsZero() && g.To.Before(from))
	})
}

// stopped reports whether the daemon has stopped without a final batch: if it were alive, its next
// batch would be stored by now.
func (r *Reader) stopped(batch *Batch, to time.Time) bool {
	expected := batch.To.Add(r.QuietInterval + storeDelay)
	return expected.Before(time.Now()) && batch.To.Before(to)
}

func sameIncarnation(a, b *Batch) bool {
	return a.Daemon == b.Daemon && a.Incarnation == b.Incarnation && a.DataCentre == b.DataCentre
}

func gapBefore(batch *Batch, from time.Time, missing uint64) Gap {
	gap := gapAfter(batch)
	gap.From = from
	gap.To = batch.From
	gap.Batches = missing
	return gap
}

func gapAfter(batch *Batch) Gap {
	return Gap{
		Daemon:      batch.Daemon,
		Incarnation: batch.Incarnation,
		DataCentre:  batch.DataCentre,
		From:        batch.To,
	}
}
