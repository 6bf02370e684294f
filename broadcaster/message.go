package broadcaster

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The field numbers of a message and, after the blank line, of its submessages. The encoding is that of protocol
// buffers. Fields of different kinds of submessages share numbers.
const (
	fieldName             protowire.Number = 1
	fieldLoad             protowire.Number = 2
	fieldHolding          protowire.Number = 3
	fieldAnnouncedVersion protowire.Number = 4
	fieldStrike           protowire.Number = 5
	// fieldUpgrading and fieldUpgraded are the targets of the upgrade plan that are being upgraded and
	// those that have been. fieldFencingToken is the fencing token of the plan, in field 1 of its submessage.
	fieldUpgrading    protowire.Number = 6
	fieldUpgraded     protowire.Number = 7
	fieldFencingToken protowire.Number = 8

	fieldTarget        protowire.Number = 1
	fieldRequestCount  protowire.Number = 2
	fieldKVCacheTokens protowire.Number = 3
	// fieldPendingPrefill is the pending prefill of the most urgent requests. The fields of less urgent ones follow.
	fieldPendingPrefill protowire.Number = 4
	fieldKey            protowire.Number = 2
	fieldTokens         protowire.Number = 3
	fieldModel          protowire.Number = 1
	fieldVersion        protowire.Number = 2
	fieldFingerprint    protowire.Number = 1
	fieldIncarnation    protowire.Number = 2
	// fieldExtra is the age of an announced version in milliseconds, or the hash of an upgraded target.
	fieldExtra protowire.Number = 3
)

var errMalformed = errors.New("malformed message")

// encode returns one message with the whole update, or several messages if the holdings do not fit into one. Each of
// them repeats the rest of the update, since a receiver replaces the loads of the previous message.
func encode(name string, update placer.PeerUpdate) (messages [][]byte) {
	head := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	head = protowire.AppendString(head, name)
	for _, load := range update.Loads {
		values := []uint64{uint64(load.Target), uint64(max(load.Requests, 0)), uint64(max(load.KVCacheTokens, 0))}
		for _, tokens := range load.PendingPrefill {
			values = append(values, uint64(max(tokens, 0)))
		}
		head = appendVarints(head, fieldLoad, values...)
	}
	for _, announced := range update.AnnouncedVersions {
		head = appendAnnouncedVersion(head, announced)
	}
	for _, strike := range update.Strikes {
		head = appendVarints(head, fieldStrike, strike.Request, strike.Incarnation)
	}
	head = appendUpgradePlan(head, update.UpgradePlan)
	message := append([]byte(nil), head...)
	for _, holding := range update.Holdings {
		if len(message) > maxMessageBytes && len(message) > len(head) {
			messages = append(messages, message)
			message = append([]byte(nil), head...)
		}
		message = appendVarints(message, fieldHolding, uint64(holding.Target), holding.Key, uint64(holding.Tokens))
	}
	return append(messages, message)
}

// appendVarints appends a submessage with the values as varints in fields numbered from one. Zeros are omitted.
func appendVarints(message []byte, field protowire.Number, values ...uint64) []byte {
	var encoded []byte
	for i, value := range values {
		if value == 0 {
			continue
		}
		encoded = protowire.AppendTag(encoded, protowire.Number(i+1), protowire.VarintType)
		encoded = protowire.AppendVarint(encoded, value)
	}
	message = protowire.AppendTag(message, field, protowire.BytesType)
	return protowire.AppendBytes(message, encoded)
}

func appendUpgradePlan(message []byte, plan placer.UpgradePlan) []byte {
	if plan.FencingToken == 0 {
		return message
	}
	message = appendVarints(message, fieldFencingToken, plan.FencingToken)
	for _, target := range plan.Upgrading {
		message = appendVarints(message, fieldUpgrading, uint64(target))
	}
	for _, upgraded := range plan.Upgraded {
		message = appendModel(message, fieldUpgraded, upgraded.Model, uint64(upgraded.Version), uint64(upgraded.Target))
	}
	return message
}

func appendAnnouncedVersion(message []byte, announced placer.AnnouncedVersion) []byte {
	return appendModel(message, fieldAnnouncedVersion, announced.Model, uint64(announced.Version), uint64(max(announced.Age.Milliseconds(), 0)))
}

// appendModel appends a submessage that contains a model, a version and fieldExtra.
func appendModel(message []byte, field protowire.Number, model string, version, extra uint64) []byte {
	encoded := protowire.AppendTag(nil, fieldModel, protowire.BytesType)
	encoded = protowire.AppendString(encoded, model)
	encoded = protowire.AppendTag(encoded, fieldVersion, protowire.VarintType)
	encoded = protowire.AppendVarint(encoded, version)
	encoded = protowire.AppendTag(encoded, fieldExtra, protowire.VarintType)
	encoded = protowire.AppendVarint(encoded, extra)
	message = protowire.AppendTag(message, field, protowire.BytesType)
	return protowire.AppendBytes(message, encoded)
}

// Decode decodes a message and returns the name of its sender and the state in it. Unknown fields are
// ignored.
func Decode(message []byte) (name string, update placer.PeerUpdate, err error) {
	err = decodeFields(message, func(field protowire.Number, value []byte) error {
		if field == fieldName {
			name = string(value)
			return nil
		}
		decoded, err := decodeSubmessage(value)
		if err != nil {
			return err
		}
		switch field {
		case fieldLoad:
			update.Loads = append(update.Loads, decoded.load())
		case fieldHolding:
			update.Holdings = append(update.Holdings, decoded.holding())
		case fieldFencingToken:
			update.UpgradePlan.FencingToken = decoded.numbers[fieldTarget]
		case fieldUpgrading:
			update.UpgradePlan.Upgrading = append(update.UpgradePlan.Upgrading, placer.TargetHash(decoded.numbers[fieldTarget]))
		case fieldUpgraded:
			update.UpgradePlan.Upgraded = append(update.UpgradePlan.Upgraded, decoded.upgradedTarget())
		case fieldStrike:
			update.Strikes = append(update.Strikes, decoded.strike())
		case fieldAnnouncedVersion:
			update.AnnouncedVersions = append(update.AnnouncedVersions, decoded.announcedVersion())
		}
		return nil
	}, func(protowire.Number, uint64) {})
	if err == nil && name == "" {
		err = errMalformed
	}
	return name, update, err
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
	numbers [fieldPendingPrefill + placer.Urgencies]uint64
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
		Target: placer.TargetHash(s.numbers[fieldTarget]), Requests: int(s.numbers[fieldRequestCount]), KVCacheTokens: int(s.numbers[fieldKVCacheTokens]),
	}
	for urgency := range load.PendingPrefill {
		load.PendingPrefill[urgency] = int(s.numbers[int(fieldPendingPrefill)+urgency])
	}
	return load
}

func (s submessage) holding() placer.Holding {
	return placer.Holding{Target: placer.TargetHash(s.numbers[fieldTarget]), Key: s.numbers[fieldKey], Tokens: int(s.numbers[fieldTokens])}
}

func (s submessage) strike() attributor.Strike {
	return attributor.Strike{Request: s.numbers[fieldFingerprint], Incarnation: s.numbers[fieldIncarnation]}
}

func (s submessage) upgradedTarget() placer.UpgradedTarget {
	return placer.UpgradedTarget{Target: placer.TargetHash(s.numbers[fieldExtra]), Model: s.text, Version: int64(s.numbers[fieldVersion])}
}

func (s submessage) announcedVersion() placer.AnnouncedVersion {
	return placer.AnnouncedVersion{
		Model: s.text, Version: int64(s.numbers[fieldVersion]), Age: time.Duration(s.numbers[fieldExtra]) * time.Millisecond,
	}
}
