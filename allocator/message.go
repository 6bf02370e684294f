package allocator

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/fieldreader"
)

// The field numbers of a message and, after the blank lines, of its submessages. The encoding is that of protocol buffers.
const (
	fieldSender   protowire.Number = 1
	fieldReceiver protowire.Number = 2
	fieldSentAt   protowire.Number = 3
	fieldEcho     protowire.Number = 4
	fieldReply    protowire.Number = 5
	fieldTime     protowire.Number = 6
	fieldShare    protowire.Number = 7
	fieldWant     protowire.Number = 8
	fieldGrant    protowire.Number = 9
	fieldLeaving  protowire.Number = 10

	fieldAccount protowire.Number = 1
	fieldSeen    protowire.Number = 2
	fieldDebt    protowire.Number = 3
	fieldAhead   protowire.Number = 4
	// fieldNeeds contains three numbers for each need: its id, its amount and its patience in milliseconds.
	fieldNeeds protowire.Number = 5

	fieldFrom  protowire.Number = 2
	fieldTotal protowire.Number = 3
	// fieldRefusals contains two numbers for each refusal: the id of the need and the retry delay in milliseconds.
	fieldRefusals protowire.Number = 4
)

const (
	// shareUnit is the number that stands for the whole fleet in messages.
	shareUnit = 1_000_000
	// maxAmount bounds amounts and totals in messages, so that sums of some do not overflow.
	maxAmount = 1 << 50
	// maxPatience bounds durations in messages.
	maxPatience = time.Hour
	// maxNeeds is the number of needs of one account in a message.
	maxNeeds = 24
)

var errMalformed = errors.New("malformed quota message")

// Message is what a daemon sends to a coordinator, or, if Reply is set, what a coordinator sends to a daemon. It contains totals
// only, so that a lost or repeated message changes nothing that the next one does not correct.
type Message struct {
	// Sender is the incarnation of the sender, and Receiver that of the receiver as far as the sender knows it; zero if it does not.
	Sender, Receiver uint64
	// SentAt is the sender's clock, and Echo the SentAt of the newest message that the sender has received from the receiver.
	SentAt, Echo clocker.Instant
	Reply        bool
	// Leaving is set if the sender stops soon and should be nobody's coordinator.
	Leaving bool
	// Time is the fleet time that the sender has transferred to this incarnation of the receiver in all.
	Time time.Duration
	// Share is the part of the fleet's daemons whose time the sender transfers.
	Share  float64
	Wants  []Want
	Grants []Grant
}

// Want is what a daemon asks of a coordinator for one account.
type Want struct {
	Account AccountHash
	// Seen is the total that the coordinator granted, as far as the daemon has seen it.
	Seen uint64
	// Debt has been used without a grant, and Ahead is wanted for requests to come.
	Debt, Ahead uint64
	Needs       []Need
}

// Need is the amount that one waiting request needs.
type Need struct {
	// ID increases with each need of the daemon.
	ID, Amount uint64
	// Patience is how long the request can wait.
	Patience time.Duration
}

// Grant is what a coordinator has granted to a daemon for one account.
type Grant struct {
	Account AccountHash
	// From and Total number the granted units that the daemon may use: those above From, up to Total. Lower ones have lapsed.
	From, Total uint64
	Refusals    []Refusal
}

// Refusal tells that a need is not granted, since the amount can't be available in time.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Encode returns the message in its wire format.
func (m Message) Encode() (encoded []byte) {
	encoded = appendVarint(encoded, fieldSender, m.Sender)
	encoded = appendVarint(encoded, fieldReceiver, m.Receiver)
	encoded = appendVarint(encoded, fieldSentAt, uint64(max(m.SentAt, 0)))
	encoded = appendVarint(encoded, fieldEcho, uint64(max(m.Echo, 0)))
	if m.Reply {
		encoded = appendVarint(encoded, fieldReply, 1)
	}
	if m.Leaving {
		encoded = appendVarint(encoded, fieldLeaving, 1)
	}
	encoded = appendVarint(encoded, fieldTime, uint64(max(m.Time, 0)))
	encoded = appendVarint(encoded, fieldShare, uint64(max(m.Share, 0)*shareUnit))
	for _, want := range m.Wants {
		encoded = appendBytes(encoded, fieldWant, want.encode())
	}
	for _, grant := range m.Grants {
		encoded = appendBytes(encoded, fieldGrant, grant.encode())
	}
	return encoded
}

func (w Want) encode() (encoded []byte) {
	encoded = appendVarint(encoded, fieldAccount, uint64(w.Account))
	encoded = appendVarint(encoded, fieldSeen, w.Seen)
	encoded = appendVarint(encoded, fieldDebt, w.Debt)
	encoded = appendVarint(encoded, fieldAhead, w.Ahead)
	var needs []byte
	for _, need := range w.Needs {
		needs = protowire.AppendVarint(needs, need.ID)
		needs = protowire.AppendVarint(needs, need.Amount)
		needs = protowire.AppendVarint(needs, uint64(max(need.Patience.Milliseconds(), 0)))
	}
	if len(needs) > 0 {
		encoded = appendBytes(encoded, fieldNeeds, needs)
	}
	return encoded
}

func (g Grant) encode() (encoded []byte) {
	encoded = appendVarint(encoded, fieldAccount, uint64(g.Account))
	encoded = appendVarint(encoded, fieldFrom, g.From)
	encoded = appendVarint(encoded, fieldTotal, g.Total)
	var refusals []byte
	for _, refusal := range g.Refusals {
		refusals = protowire.AppendVarint(refusals, refusal.ID)
		refusals = protowire.AppendVarint(refusals, uint64(max(refusal.RetryAfter.Milliseconds(), 0)))
	}
	if len(refusals) > 0 {
		encoded = appendBytes(encoded, fieldRefusals, refusals)
	}
	return encoded
}

// Decode decodes a message. Unknown fields are skipped.
func Decode(encoded []byte) (m Message, err error) {
	err = decodeFields(encoded, func(field protowire.Number, number uint64) {
		switch field {
		case fieldSender:
			m.Sender = number
		case fieldReceiver:
			m.Receiver = number
		case fieldSentAt:
			m.SentAt = instant(number)
		case fieldEcho:
			m.Echo = instant(number)
		case fieldReply:
			m.Reply = number != 0
		case fieldLeaving:
			m.Leaving = number != 0
		case fieldTime:
			m.Time = time.Duration(instant(number))
		case fieldShare:
			m.Share = float64(min(number, shareUnit)) / shareUnit
		}
	}, func(field protowire.Number, value []byte) error {
		switch field {
		case fieldWant:
			want, err := decodeWant(value)
			m.Wants = append(m.Wants, want)
			return err
		case fieldGrant:
			grant, err := decodeGrant(value)
			m.Grants = append(m.Grants, grant)
			return err
		}
		return nil
	})
	if err == nil && (m.Sender == 0 || m.SentAt == 0) {
		err = errMalformed
	}
	return m, err
}

func decodeWant(encoded []byte) (w Want, err error) {
	err = decodeFields(encoded, func(field protowire.Number, number uint64) {
		switch field {
		case fieldAccount:
			w.Account = AccountHash(number)
		case fieldSeen:
			w.Seen = min(number, maxAmount)
		case fieldDebt:
			w.Debt = min(number, maxAmount)
		case fieldAhead:
			w.Ahead = min(number, maxAmount)
		}
	}, func(field protowire.Number, value []byte) error {
		if field != fieldNeeds {
			return nil
		}
		numbers, err := decodeNumbers(value)
		for ; len(numbers) >= 3 && len(w.Needs) < maxNeeds; numbers = numbers[3:] {
			w.Needs = append(w.Needs, Need{ID: numbers[0], Amount: min(numbers[1], maxAmount), Patience: duration(numbers[2])})
		}
		return err
	})
	return w, err
}

func decodeGrant(encoded []byte) (g Grant, err error) {
	err = decodeFields(encoded, func(field protowire.Number, number uint64) {
		switch field {
		case fieldAccount:
			g.Account = AccountHash(number)
		case fieldFrom:
			g.From = min(number, maxAmount)
		case fieldTotal:
			g.Total = min(number, maxAmount)
		}
	}, func(field protowire.Number, value []byte) error {
		if field != fieldRefusals {
			return nil
		}
		numbers, err := decodeNumbers(value)
		for ; len(numbers) >= 2 && len(g.Refusals) < maxNeeds; numbers = numbers[2:] {
			g.Refusals = append(g.Refusals, Refusal{ID: numbers[0], RetryAfter: duration(numbers[1])})
		}
		return err
	})
	return g, err
}

func instant(number uint64) clocker.Instant { return clocker.Instant(min(number, 1<<62)) }

func duration(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, uint64(maxPatience.Milliseconds()))) * time.Millisecond
}

// appendVarint appends a number. Zero is omitted.
func appendVarint(message []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return message
	}
	return protowire.AppendVarint(protowire.AppendTag(message, field, protowire.VarintType), value)
}

func appendBytes(message []byte, field protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(message, field, protowire.BytesType), value)
}

func decodeNumbers(encoded []byte) (numbers []uint64, err error) {
	for len(encoded) > 0 {
		number, n := protowire.ConsumeVarint(encoded)
		if n < 0 {
			return nil, errMalformed
		}
		numbers, encoded = append(numbers, number), encoded[n:]
	}
	return numbers, nil
}

// decodeFields calls onVarint or onBytes for each field of a message.
func decodeFields(message []byte, onVarint func(protowire.Number, uint64), onBytes func(protowire.Number, []byte) error) error {
	if fieldreader.Read(message, onBytes, onVarint) != nil {
		return errMalformed
	}
	return nil
}
