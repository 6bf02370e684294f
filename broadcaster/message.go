package broadcaster

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The fields of a message and of its parts.
const (
	fieldName    protowire.Number = 1
	fieldLoad    protowire.Number = 2
	fieldHolding protowire.Number = 3

	fieldTarget   protowire.Number = 1
	fieldRequests protowire.Number = 2
	fieldHeld     protowire.Number = 3
	// fieldUnread is that of the most urgent rank; the others follow it.
	fieldUnread protowire.Number = 4
	fieldKey    protowire.Number = 2
	fieldTokens protowire.Number = 3
)

var errMalformed = errors.New("malformed message")

// encode puts the loads and as many holdings as fit into one message, and the rest into more. Each
// message tells all loads, since a message replaces the one before.
func encode(name string, loads []placer.Load, holdings []placer.Holding) (messages [][]byte) {
	head := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	head = protowire.AppendString(head, name)
	for _, load := range loads {
		values := []uint64{uint64(load.Target), uint64(max(load.Requests, 0)), uint64(max(load.Held, 0))}
		for _, tokens := range load.Unread {
			values = append(values, uint64(max(tokens, 0)))
		}
		head = appendNumbers(head, fieldLoad, values...)
	}
	message := append([]byte(nil), head...)
	for _, holding := range holdings {
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

func decode(message []byte) (name string, loads []placer.Load, holdings []placer.Holding, err error) {
	for len(message) > 0 {
		field, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return "", nil, nil, errMalformed
		}
		message = message[n:]
		if kind != protowire.BytesType {
			n := protowire.ConsumeFieldValue(field, kind, message)
			if n < 0 {
				return "", nil, nil, errMalformed
			}
			message = message[n:]
			continue
		}
		value, n := protowire.ConsumeBytes(message)
		if n < 0 {
			return "", nil, nil, errMalformed
		}
		message = message[n:]
		switch field {
		case fieldName:
			name = string(value)
		case fieldLoad:
			numbers, err := consumeNumbers(value)
			if err != nil {
				return "", nil, nil, err
			}
			loads = append(loads, numbers.load())
		case fieldHolding:
			numbers, err := consumeNumbers(value)
			if err != nil {
				return "", nil, nil, err
			}
			holdings = append(holdings, placer.Holding{
				Target: placer.TargetHash(numbers[fieldTarget]), Key: numbers[fieldKey], Tokens: int(numbers[fieldTokens]),
			})
		}
	}
	if name == "" {
		return "", nil, nil, errMalformed
	}
	return name, loads, holdings, nil
}

// numbers are the fields of an object by their number; unknown ones are dropped.
type numbers [fieldUnread + placer.Urgencies]uint64

func (n numbers) load() placer.Load {
	load := placer.Load{
		Target: placer.TargetHash(n[fieldTarget]), Requests: int(n[fieldRequests]), Held: int(n[fieldHeld]),
	}
	for urgency := range load.Unread {
		load.Unread[urgency] = int(n[int(fieldUnread)+urgency])
	}
	return load
}

func consumeNumbers(object []byte) (values numbers, err error) {
	for len(object) > 0 {
		field, kind, n := protowire.ConsumeTag(object)
		if n < 0 {
			return values, errMalformed
		}
		object = object[n:]
		if kind != protowire.VarintType {
			if n = protowire.ConsumeFieldValue(field, kind, object); n < 0 {
				return values, errMalformed
			}
			object = object[n:]
			continue
		}
		value, n := protowire.ConsumeVarint(object)
		if n < 0 {
			return values, errMalformed
		}
		object = object[n:]
		if int(field) < len(values) {
			values[field] = value
		}
	}
	return values, nil
}
