package broadcaster

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/convictor"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The field numbers of a message and of its submessages. The format is that of protocol buffers.
const (
	fieldName    protowire.Number = 1
	fieldLoad    protowire.Number = 2
	fieldHolding protowire.Number = 3
	fieldNaming  protowire.Number = 4
	fieldStrike  protowire.Number = 5
	// fieldChanging and fieldChanged are the targets whose weights change or have changed. fieldFence is
	// the fencing token of the daemon that changes them.
	fieldChanging protowire.Number = 6
	fieldChanged  protowire.Number = 7
	fieldFence    protowire.Number = 8

	fieldTarget   protowire.Number = 1
	fieldRequests protowire.Number = 2
	fieldHeld     protowire.Number = 3
	// fieldUnread is the field of the most urgent rank; the fields of the other ranks follow.
	fieldUnread      protowire.Number = 4
	fieldKey         protowire.Number = 2
	fieldTokens      protowire.Number = 3
	fieldModel       protowire.Number = 1
	fieldVersion     protowire.Number = 2
	fieldRequest     protowire.Number = 1
	fieldIncarnation protowire.Number = 2
	// fieldExtra is the age of a naming or the target of a change.
	fieldExtra protowire.Number = 3
)

var errMalformed = errors.New("malformed message")

// encode returns one message with everything, or several if the holdings do not fit into one. Each
// message contains all loads, since a receiver replaces the loads of the previous message.
func encode(name string, news placer.PeerUpdate) (messages [][]byte) {
	head := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	head = protowire.AppendString(head, name)
	for _, load := range news.Loads {
		values := []uint64{uint64(load.Target), uint64(max(load.Requests, 0)), uint64(max(load.Held, 0))}
		for _, tokens := range load.Unread {
			values = append(values, uint64(max(tokens, 0)))
		}
		head = appendVarints(head, fieldLoad, values...)
	}
	for _, naming := range news.AnnouncedVersions {
		head = appendNaming(head, naming)
	}
	for _, strike := range news.Strikes {
		head = appendVarints(head, fieldStrike, strike.Request, strike.Incarnation)
	}
	head = appendChanges(head, news.UpgradePlan)
	message := append([]byte(nil), head...)
	for _, holding := range news.Holdings {
		if len(message) > maxMessageBytes && len(message) > len(head) {
			messages = append(messages, message)
			message = append([]byte(nil), head...)
		}
		message = appendVarints(message, fieldHolding, uint64(holding.Target), holding.Key, uint64(holding.Tokens))
	}
	return append(messages, message)
}

// appendVarints appends a submessage of varints whose fields are numbered from one. Zeros are omitted.
func appendVarints(message []byte, field protowire.Number, values ...uint64) []byte {
	var part []byte
	for i, value := range values {
		if value == 0 {
			continue
		}
		part = protowire.AppendTag(part, protowire.Number(i+1), protowire.VarintType)
		part = protowire.AppendVarint(part, value)
	}
	message = protowire.AppendTag(message, field, protowire.BytesType)
	return protowire.AppendBytes(message, part)
}

func appendChanges(message []byte, changes placer.UpgradePlan) []byte {
	if changes.FencingToken == 0 {
		return message
	}
	message = appendVarints(message, fieldFence, changes.FencingToken)
	for _, target := range changes.Upgrading {
		message = appendVarints(message, fieldChanging, uint64(target))
	}
	for _, changed := range changes.Upgraded {
		message = appendModel(message, fieldChanged, changed.Model, uint64(changed.Version), uint64(changed.Target))
	}
	return message
}

func appendNaming(message []byte, naming placer.AnnouncedVersion) []byte {
	return appendModel(message, fieldNaming, naming.Model, uint64(naming.Version), uint64(max(naming.Age.Milliseconds(), 0)))
}

// appendModel appends a submessage of a model, a version and fieldExtra.
func appendModel(message []byte, field protowire.Number, model string, version, extra uint64) []byte {
	part := protowire.AppendTag(nil, fieldModel, protowire.BytesType)
	part = protowire.AppendString(part, model)
	part = protowire.AppendTag(part, fieldVersion, protowire.VarintType)
	part = protowire.AppendVarint(part, version)
	part = protowire.AppendTag(part, fieldExtra, protowire.VarintType)
	part = protowire.AppendVarint(part, extra)
	message = protowire.AppendTag(message, field, protowire.BytesType)
	return protowire.AppendBytes(message, part)
}

// Decode decodes a message and returns the name of its sender and the state in it. Unknown fields are
// ignored.
func Decode(message []byte) (name string, news placer.PeerUpdate, err error) {
	err = decodeFields(message, func(field protowire.Number, value []byte) error {
		if field == fieldName {
			name = string(value)
			return nil
		}
		part, err := decodeSubmessage(value)
		if err != nil {
			return err
		}
		switch field {
		case fieldLoad:
			news.Loads = append(news.Loads, part.load())
		case fieldHolding:
			news.Holdings = append(news.Holdings, part.holding())
		case fieldFence:
			news.UpgradePlan.FencingToken = part.numbers[fieldTarget]
		case fieldChanging:
			news.UpgradePlan.Upgrading = append(news.UpgradePlan.Upgrading, placer.TargetHash(part.numbers[fieldTarget]))
		case fieldChanged:
			news.UpgradePlan.Upgraded = append(news.UpgradePlan.Upgraded, part.changed())
		case fieldStrike:
			news.Strikes = append(news.Strikes, part.strike())
		case fieldNaming:
			news.AnnouncedVersions = append(news.AnnouncedVersions, part.naming())
		}
		return nil
	}, func(protowire.Number, uint64) {})
	if err == nil && name == "" {
		err = errMalformed
	}
	return name, news, err
}

// decodeFields calls onBytes or onVarint for each field of a message. Other wire types are skipped.
func decodeFields(message []byte, onBytes func(protowire.Number, []byte) error, onVarint func(protowire.Number, uint64)) error {
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
			if err := onBytes(field, content); err != nil {
				return err
			}
		case protowire.VarintType:
			content, _ := protowire.ConsumeVarint(value)
			onVarint(field, content)
		}
	}
	return nil
}

// submessage is a decoded submessage: its string, if it has one, and its numbers by field.
type submessage struct {
	text    string
	numbers [fieldUnread + placer.Urgencies]uint64
}

func decodeSubmessage(message []byte) (s submessage, err error) {
	err = decodeFields(message,
		func(_ protowire.Number, value []byte) error {
			s.text = string(value)
			return nil
		},
		func(field protowire.Number, value uint64) {
			if int(field) < len(s.numbers) {
				s.numbers[field] = value
			}
		})
	return s, err
}

func (s submessage) load() placer.Load {
	load := placer.Load{
		Target: placer.TargetHash(s.numbers[fieldTarget]), Requests: int(s.numbers[fieldRequests]), Held: int(s.numbers[fieldHeld]),
	}
	for urgency := range load.Unread {
		load.Unread[urgency] = int(s.numbers[int(fieldUnread)+urgency])
	}
	return load
}

func (s submessage) holding() placer.Holding {
	return placer.Holding{Target: placer.TargetHash(s.numbers[fieldTarget]), Key: s.numbers[fieldKey], Tokens: int(s.numbers[fieldTokens])}
}

func (s submessage) strike() convictor.Strike {
	return convictor.Strike{Request: s.numbers[fieldRequest], Incarnation: s.numbers[fieldIncarnation]}
}

func (s submessage) changed() placer.UpgradedTarget {
	return placer.UpgradedTarget{Target: placer.TargetHash(s.numbers[fieldExtra]), Model: s.text, Version: int64(s.numbers[fieldVersion])}
}

func (s submessage) naming() placer.AnnouncedVersion {
	return placer.AnnouncedVersion{
		Model: s.text, Version: int64(s.numbers[fieldVersion]), Age: time.Duration(s.numbers[fieldExtra]) * time.Millisecond,
	}
}
