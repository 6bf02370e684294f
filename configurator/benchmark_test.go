package configurator_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// benchmarkAccounts are the numbers of accounts. There are two thirds as many targets.
var benchmarkAccounts = []int{180, 1_800, 18_000}

const objectsPerChange = 1_000

func benchmarkAccount(i, generation int) registrar.Account {
	key := binary.BigEndian.AppendUint64(nil, uint64(i))
	return registrar.Account{
		Name:       fmt.Sprintf("account-%06d", i),
		Labels:     registrar.Labels{"tier": "gold", "generation": fmt.Sprint(generation)},
		KeyDigests: []registrar.KeyDigest{sha256.Sum256(key)},
	}
}

func benchmarkTarget(i int) registrar.Target {
	return registrar.Target{
		Name:       fmt.Sprintf("target-%06d", i),
		Kind:       registrar.TargetEngine,
		Model:      "model",
		DataCentre: fmt.Sprintf("centre-%02d", i%25),
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
	}
}

// newBenchmarkDaemon starts a daemon on the platform and waits until it is ready.
func newBenchmarkDaemon(b *testing.B, platform *platformemulator.Platform) *configurator.Configurator {
	b.Helper()
	c, err := configurator.New(configurator.Settings{
		Daemon:      "bench",
		Store:       platform,
		Peers:       noPeers{},
		WatchRole:   noPeers{},
		StartSpread: time.Nanosecond,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	for !c.Ready() {
		time.Sleep(time.Millisecond)
	}
	return c
}

func commitObjects(b *testing.B, c *configurator.Configurator, set registrar.Objects) {
	b.Helper()
	if _, err := c.Commit(b.Context(), c.Digest().Revision, registrar.Change{Set: set}); err != nil {
		b.Fatal(err)
	}
}

// commitAccountsAndTargets commits the objects in changes that are small enough for a value of the
// platform.
func commitAccountsAndTargets(b *testing.B, c *configurator.Configurator, accounts int) {
	b.Helper()
	var all []registrar.Account
	for i := range accounts {
		all = append(all, benchmarkAccount(i, 0))
	}
	for part := range slices.Chunk(all, objectsPerChange) {
		commitObjects(b, c, registrar.Objects{Accounts: part})
	}
	var targets []registrar.Target
	for i := range accounts * 2 / 3 {
		targets = append(targets, benchmarkTarget(i))
	}
	for part := range slices.Chunk(targets, objectsPerChange) {
		commitObjects(b, c, registrar.Objects{Targets: part})
	}
}

// BenchmarkOffer measures applying one entry that changes one account.
func BenchmarkOffer(b *testing.B) {
	for _, accounts := range benchmarkAccounts {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			platform := platformemulator.New(platformemulator.Settings{})
			writer := newBenchmarkDaemon(b, platform)
			commitAccountsAndTargets(b, writer, accounts)
			reader := newBenchmarkDaemon(b, platform)
			bytes := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				commitObjects(b, writer, registrar.Objects{Accounts: []registrar.Account{benchmarkAccount(i%accounts, i)}})
				entries := writer.Entries(writer.Digest().Revision-1, 1<<20)
				bytes += len(entries[0])
				b.StartTimer()
				if err := reader.Offer(entries); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "entry_bytes")
		})
	}
}

// BenchmarkOfferState measures applying the complete state on a new daemon.
func BenchmarkOfferState(b *testing.B) {
	for _, accounts := range benchmarkAccounts {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			writer := newBenchmarkDaemon(b, platformemulator.New(platformemulator.Settings{}))
			commitAccountsAndTargets(b, writer, accounts)
			data, err := writer.EncodeState()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				reader := newBenchmarkDaemon(b, platformemulator.New(platformemulator.Settings{}))
				b.StartTimer()
				if err := reader.OfferState(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "state_bytes")
		})
	}
}
