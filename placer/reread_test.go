package placer_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against an account that shows another cause than the one that has to be mended.
func TestCauseOfReadIsTold(t *testing.T) {
	book := longCall("book")
	only := func(f *fixture, id string) placer.Choice { return f.choose(book, idsExcept(2, id)...) }
	serve := func(f *fixture) {
		choice := only(f, "e0")
		choice.Attempt.RecordFirstEvent()
		choice.Attempt.Finish()
	}
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		want    placer.ReadCause
		tokens  int
	}{
		"first":                {func(f *fixture) { f.now = f.now.Add(time.Hour) }, placer.ReadFirst, 13_000},
		"soon after the start": {func(*fixture) {}, placer.ReadUnknown, 13_000},
		"held":                 {func(f *fixture) { serve(f); f.choose(book, "e0").Attempt.Finish() }, "", 0},
		"being read elsewhere": {func(f *fixture) { only(f, "e0") }, placer.ReadConcurrent, 13_000},
		"evicted": {func(f *fixture) {
			serve(f)
			f.placer.ObserveCache("e0", placer.CacheEvents{Changes: []placer.CacheChange{{Key: placer.PartKey(model, "", 1, "book")}}})
		}, placer.ReadEvicted, 13_000},
		"new weights": {func(f *fixture) {
			serve(f)
			f.placer.MarkUpgraded("e0", model, 2)
			f.placer.MarkUpgraded("e1", model, 2)
		}, placer.ReadWeights, 13_000},
		"held by a store that is slower than a prefill": {func(f *fixture) {
			f.placer.SetCacheStores([]placer.CacheStore{{Name: placer.CacheStoreName, Address: storeAddress, DataCentre: "north", CacheTokens: 4_000_000, LinkBitsPerSecond: 1e9}})
			f.reportStored(book)
		}, placer.ReadElsewhere, 13_000},
	} {
		f := newFixture(t, 2)
		c.prepare(f)
		if choice := only(f, "e1"); choice.ReadCause != c.want || choice.SharedRead != c.tokens {
			t.Errorf("%s: %d tokens are read, cause %q, want %d, %q", name, choice.SharedRead, choice.ReadCause, c.tokens, c.want)
		}
	}
}
