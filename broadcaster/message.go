package broadcaster

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/convictor"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The fields of a message and of its parts.
const (
	fieldName    protowire.Number = 1
	fieldLoad    protowire.Number = 2
	fieldHolding protowire.Number = 3
	fieldNaming  protowire.Number = 4
	fieldStrike  protowire.Number = 5
	// fieldChanging and fieldChanged name targets by the duty for weights; fieldFence is its holder's.
	fieldChanging protowire.Number = 6
	fieldChanged  protowire.Number = 7
	fieldFence    protowire.Number = 8

	fieldTarget   protowire.Number = 1
	fieldRequests protowire.Number = 2
	fieldHeld     protowire.Number = 3
	// fieldUnread is that of the most urgent rank; the others follow it.
	fieldUnread  protowire.Number = 4
	fieldKey     protowire.Number = 2
	fieldTokens  protowire.Number = 3
	fieldModel   protowire.Number = 1
	fieldVersion protowire.Number = 2
	fieldRequest protowire.Number = 1
	fieldLife    protowire.Number = 2
	fieldOf      protowire.Number = 3
)

var errMalformed = errors.New("malformed message")

// encode puts the loads and as many holdings as fit into one message, and the rest into more. Each
// message tells all loads, since a message replaces the one before.
func encode(name string, news placer.News) (messages [][]byte) {
	head := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	head = protowire.AppendString(head, name)
	for _, load := range news.Loads {
		values := []uint64{uint64(load.Target), uint64(max(load.Requests, 0)), uint64(max(load.Held, 0))}
		for _, tokens := range load.Unread {
			values = append(values, uint64(max(tokens, 0)))
		}
		head = appendNumbers(head, fieldLoad, values...)
	}
	for _, naming := range news.Namings {
		head = appendNaming(head, naming)
	}
	for _, strike := range news.Strikes {
		head = appendNumbers(head, fieldStrike, strike.Request, strike.Incarnation)
	}
	head = appendChanges(head, news.Changes)
	message := append([]byte(nil), head...)
	for _, holding := range news.Holdings {
		if len(message) > maxDatagram && len(message) > len(head) {
			messages = append(messages, message)
			message = append([]byte(nil), head...)
		}
		message = appendNumbers(message, fieldHolding, uint64(holding.Target), holding.Key, uint64(holding.Tokens))
	}
	return append(messages, message)
}

// appendNumbers appends an object whose fields are numbered from one. Zeros are left out.
func appendNumbers(message []byte, field protowire.Number, values ...uint64) []byte {
	var object []byte
	for i, value := range values {
		if value == 0 {
			continue
		}
		object = protowire.AppendTag(object, protowire.Number(i+1), protowire.VarintType)
		object = protowire.AppendVarint(object, value)
	}
	message = protowire.AppendTag(message, field, protowire.BytesType)
	return protowire.AppendBytes(message, object)
}

func appendChanges(message []byte, changes placer.Changes) []byte {
	if changes.Fence == 0 {
		return message
	}
	message = appendNumbers(message, fieldFence, changes.Fence)
	for _, target := range changes.Changing {
		message = appendNumbers(message, fieldChanging, uint64(target))
	}
	for _, changed := range changes.Changed {
		message = appendModel(message, fieldChanged, changed.Model, uint64(changed.Version), uint64(changed.Target))
	}
	return message
}

func appendNaming(message []byte, naming placer.Naming) []byte {
	return appendModel(message, fieldNaming, naming.Model, uint64(naming.Version), uint64(max(naming.Age.Milliseconds(), 0)))
}

// appendModel appends an object of a model, a version and another number.
func appendModel(message []byte, field protowire.Number, model string, version, other uint64) []byte {
	object := protowire.AppendTag(nil, fieldModel, protowire.BytesType)
	object = protowire.AppendString(object, model)
	object = protowire.AppendTag(object, fieldVersion, protowire.VarintType)
	object = protowire.AppendVarint(object, version)
	object = protowire.AppendTag(object, fieldOf, protowire.VarintType)
	object = protowire.AppendVarint(object, other)
	message = protowire.AppendTag(message, field, protowire.BytesType)
	return protowire.AppendBytes(message, object)
}

// Decode reads a message of a peer.
func Decode(message []byte) (name string, news placer.News, err error) {
	err = consume(message, func(field protowire.Number, value []byte) error {
		if field == fieldName {
			name = string(value)
			return nil
		}
		object, err := consumeObject(value)
		if err != nil {
			return err
		}
		switch field {
		case fieldLoad:
			news.Loads = append(news.Loads, object.load())
		case fieldHolding:
			news.Holdings = append(news.Holdings, object.holding())
		case fieldFence:
			news.Changes.Fence = object.numbers[fieldTarget]
		case fieldChanging:
			news.Changes.Changing = append(news.Changes.Changing, placer.TargetHash(object.numbers[fieldTarget]))
		case fieldChanged:
			news.Changes.Changed = append(news.Changes.Changed, object.changed())
		case fieldStrike:
			news.Strikes = append(news.Strikes, object.strike())
		case fieldNaming:
			news.Namings = append(news.Namings, object.naming())
		}
		return nil
	}, func(protowire.Number, uint64) {})
	if err == nil && name == "" {
		err = errMalformed
	}
	return name, news, err
}

// consume reads the fields of a message; those of unknown kinds are passed over.
func consume(message []byte, bytes func(protowire.Number, []byte) error, number func(protowire.Number, uint64)) error {
	for len(message) > 0 {
		field, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return errMalformed
		}
		length := protowire.ConsumeFieldValue(field, kind, message[n:])
		if length < 0 {
			return errMalformed
		}
		value := message[n : n+length]
		message = message[n+length:]
		switch kind {
		case protowire.BytesType:
			content, _ := protowire.ConsumeBytes(value)
			if err := bytes(field, content); err != nil {
				return err
			}
		case protowire.VarintType:
			content, _ := protowire.ConsumeVarint(value)
			number(field, content)
		}
	}
	return nil
}

// object is a part of a message: its text, if it has one, and its numbers by field.
type object struct {
	text    string
	numbers [fieldUnread + placer.Urgencies]uint64
}

func consumeObject(message []byte) (o object, err error) {
	err = consume(message,
		func(_ protowire.Number, value []byte) error {
			o.text = string(value)
			return nil
		},
		func(field protowire.Number, value uint64) {
			if int(field) < len(o.numbers) {
				o.numbers[field] = value
			}
		})
	return o, err
}

func (o object) load() placer.Load {
	load := placer.Load{
		Target: placer.TargetHash(o.numbers[fieldTarget]), Requests: int(o.numbers[fieldRequests]), Held: int(o.numbers[fieldHeld]),
	}
	for urgency := range load.Unread {
		load.Unread[urgency] = int(o.numbers[int(fieldUnread)+urgency])
	}
	return load
}

func (o object) holding() placer.Holding {
	return placer.Holding{Target: placer.TargetHash(o.numbers[fieldTarget]), Key: o.numbers[fieldKey], Tokens: int(o.numbers[fieldTokens])}
}

func (o object) strike() convictor.Strike {
	return convictor.Strike{Request: o.numbers[fieldRequest], Incarnation: o.numbers[fieldLife]}
}

func (o object) changed() placer.Changed {
	return placer.Changed{Target: placer.TargetHash(o.numbers[fieldOf]), Model: o.text, Version: int64(o.numbers[fieldVersion])}
}

func (o object) naming() placer.Naming {
	return placer.Naming{
		Model: o.text, Version: int64(o.numbers[fieldVersion]), Age: time.Duration(o.numbers[fieldOf]) * time.Millisecond,
	}
}
