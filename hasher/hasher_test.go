package hasher_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

func TestPrompt(t *testing.T) {
	messages := []hasher.Message{{Role: "system", Content: "a"}, {Role: "user", Content: "b"}}
	if got, want := hasher.Prompt(messages), "system\na\nuser\nb\n"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestSeedsDiffer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		part := rapid.StringMatching(`[ab]{0,3}`)
		first := [3]string{part.Draw(rt, "account"), part.Draw(rt, "weights"), part.Draw(rt, "adapter")}
		second := [3]string{part.Draw(rt, "account"), part.Draw(rt, "weights"), part.Draw(rt, "adapter")}
		same := hasher.Seed(first[0], first[1], first[2]) == hasher.Seed(second[0], second[1], second[2])
		if same != (first == second) {
			rt.Fatalf("seeds of %q and %q: same is %v", first, second, same)
		}
	})
}

func TestChainsShareExactlyTheCommonPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		blockTokens := rapid.IntRange(1, 4).Draw(rt, "block_tokens")
		text := rapid.StringMatching(`[ab]{0,80}`)
		first, second := text.Draw(rt, "first"), text.Draw(rt, "second")
		seed := hasher.Seed("account", "weights", "")
		a := hasher.Blocks(seed, first, blockTokens)
		b := hasher.Blocks(seed, second, blockTokens)
		size := blockTokens * hasher.BytesPerToken
		if len(a) != len(first)/size {
			rt.Fatalf("%d blocks of %d bytes", len(a), len(first))
		}
		for i := range min(len(a), len(b)) {
			shared := first[:(i+1)*size] == second[:(i+1)*size]
			if (a[i] == b[i]) != shared {
				rt.Fatalf("block %d: same hash is %v, same prefix is %v", i, a[i] == b[i], shared)
			}
		}
		other := hasher.Blocks(hasher.Seed("other", "weights", ""), first, blockTokens)
		for _, block := range other {
			if slices.Contains(a, block) {
				rt.Fatalf("a block of another account has the same hash")
			}
		}
	})
}

func TestBlockText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		block := hasher.Block{Hi: rapid.Uint64().Draw(rt, "hi"), Lo: rapid.Uint64().Draw(rt, "lo")}
		got, err := hasher.ParseBlock(block.String())
		if err != nil || got != block {
			rt.Fatalf("got %v, %v, want %v", got, err, block)
		}
	})
	for _, text := range []string{"", "00", "zz000000000000000000000000000000", "000000000000000000000000000000000"} {
		if _, err := hasher.ParseBlock(text); err == nil {
			t.Errorf("%q is parsed as a block", text)
		}
	}
}

func FuzzParseBlock(f *testing.F) {
	f.Add("00112233445566778899aabbccddeeff")
	f.Fuzz(func(t *testing.T, text string) {
		block, err := hasher.ParseBlock(text)
		if err != nil {
			return
		}
		if again, err := hasher.ParseBlock(block.String()); err != nil || again != block {
			t.Fatalf("%q gave %v, then %v", text, block, again)
		}
	})
}

func BenchmarkBlocks(b *testing.B) {
	prompt := string(make([]byte, 64_000*hasher.BytesPerToken))
	seed := hasher.Seed("account", "weights", "")
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		hasher.Blocks(seed, prompt, 2000)
	}
}
