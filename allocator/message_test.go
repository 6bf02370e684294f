package allocator_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/allocator"
	"github.com/rosemaryrill/rosemaryrill/clocker"
)

// drawMessage draws a message with numbers of any size that the format allows.
func drawMessage(t *rapid.T) allocator.Message {
	number := rapid.Uint64Range(0, 1<<50)
	milliseconds := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, 3_600_000).Draw(t, "ms")) * time.Millisecond
	})
	message := allocator.Message{
		Sender: rapid.Uint64Min(1).Draw(t, "sender"), Receiver: rapid.Uint64().Draw(t, "receiver"),
		SentAt: clocker.Instant(1 + number.Draw(t, "sent at")), Echo: clocker.Instant(number.Draw(t, "echo")),
		Reply: rapid.Bool().Draw(t, "reply"), Leaving: rapid.Bool().Draw(t, "leaving"), Time: time.Duration(number.Draw(t, "time")), Share: 0.5,
	}
	for range rapid.IntRange(0, 3).Draw(t, "wants") {
		want := allocator.Want{
			Account: allocator.AccountHash(rapid.Uint64().Draw(t, "account")), Seen: number.Draw(t, "seen"),
			Debt: number.Draw(t, "debt"), Ahead: number.Draw(t, "ahead"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "needs") {
			want.Needs = append(want.Needs, allocator.Need{ID: rapid.Uint64().Draw(t, "id"), Amount: number.Draw(t, "amount"), Patience: milliseconds.Draw(t, "patience")})
		}
		message.Wants = append(message.Wants, want)
	}
	for range rapid.IntRange(0, 3).Draw(t, "grants") {
		grant := allocator.Grant{
			Account: allocator.AccountHash(rapid.Uint64().Draw(t, "account")), From: number.Draw(t, "from"), Total: number.Draw(t, "total"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "refusals") {
			grant.Refusals = append(grant.Refusals, allocator.Refusal{ID: rapid.Uint64().Draw(t, "id"), RetryAfter: milliseconds.Draw(t, "after")})
		}
		message.Grants = append(message.Grants, grant)
	}
	return message
}

// Guards against amounts and times that another daemon reads differently.
func TestMessagesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := drawMessage(t)
		if decoded, err := allocator.Decode(message.Encode()); err != nil || !reflect.DeepEqual(decoded, message) {
			t.Fatalf("%+v was read as %+v, error %v", message, decoded, err)
		}
	})
}

// Guards against a panic, and against amounts that overflow, upon any bytes that another daemon sends.
func FuzzDecode(f *testing.F) {
	f.Add(allocator.Message{Sender: 1, SentAt: 2, Wants: []allocator.Want{{Account: 3, Needs: []allocator.Need{{ID: 1, Amount: 2}}}}}.Encode())
	f.Add(allocator.Message{Sender: 1, SentAt: 2, Reply: true, Grants: []allocator.Grant{{Account: 3, Total: 9, Refusals: []allocator.Refusal{{ID: 1}}}}}.Encode())
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		message, err := allocator.Decode(encoded)
		if err != nil {
			return
		}
		s := newSimulation(1, 1, 1, small)
		s.nodes[0].Receive("daemon-1", message, s.now)
		s.nodes[0].Advance(s.now.Add(time.Second))
	})
}
