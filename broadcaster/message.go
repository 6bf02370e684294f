package broadcaster

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/fieldreader"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
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
	// fieldScope is the Scope of a message. fieldLoadsOmitted is 1 if the message continues another one that contains
	// the loads. fieldMembers contains the hashes of the members' names, eight bytes each.
	fieldScope        protowire.Number = 9
	fieldLoadsOmitted protowire.Number = 10
	fieldMembers      protowire.Number = 11
	fieldCompletion   protowire.Number = 12
	fieldRateLimit    protowire.Number = 13
	fieldDeparture    protowire.Number = 14
	// fieldOrigin is the origin of a stream. Its submessage has the version of the software in place of a model, the number of the
	// origin in place of a version, and the stream as fieldExtra.
	fieldOrigin protowire.Number = 15
	// fieldAcknowledged contains the streams whose origins have arrived, eight bytes each.
	fieldAcknowledged protowire.Number = 16
	// fieldQuota is a message of package allocator. It is a valid submessage, as daemons that do not know it demand.
	fieldQuota protowire.Number = 17
	// fieldDemand is what an account demands of a service. Without fieldAccounts it is what became of the work of a service.
	fieldDemand protowire.Number = 18
	// fieldHoldingsWanted is the number of holdings that the sender wants of the receiver, which are told in holdings.
	fieldHoldingsWanted protowire.Number = 19

	// fieldWorkFactor is how long work takes at a target. Its submessage has the percentage as fieldRequestCount.
	fieldWorkFactor protowire.Number = 20

	fieldTarget        protowire.Number = 1
	fieldRequestCount  protowire.Number = 2
	fieldKVCacheTokens protowire.Number = 3
	// fieldPendingPrefill is the pending prefill of the most urgent requests. The fields of less urgent ones follow.
	fieldPendingPrefill protowire.Number = 4
	fieldKey            protowire.Number = 2
	fieldTokens         protowire.Number = 3
	fieldModel          protowire.Number = 1
	fieldVersion        protowire.Number = 2
	fieldCause          protowire.Number = 1
	fieldIncarnation    protowire.Number = 2
	// fieldLimit is a rate limit in thousandths of a request a second, plus one; zero means that there is no limit.
	fieldLimit protowire.Number = 2
	// fieldExtra is the hash of an upgraded target, or an age in milliseconds: of an announced version, a strike, a
	// completion or a rate limit.
	fieldExtra protowire.Number = 3
	// fieldEnded is 1 in a strike whose incarnation is known to have ended.
	fieldEnded protowire.Number = 4
)

var errMalformed = fieldreader.ErrMalformed

// Scope tells whose state a message contains.
type Scope uint8

// The scopes of messages.
const (
	// ScopeDaemon is the state of the sender alone.
	ScopeDaemon Scope = iota
	// ScopeDataCentre is the state of all daemons of the sender's data centre.
	ScopeDataCentre
	// ScopeFleet is the state of all daemons, including the receiver.
	ScopeFleet
	// ScopeReceiver is something that concerns the receiver alone.
	ScopeReceiver
)

// Message is a decoded datagram.
type Message struct {
	Sender string
	Scope  Scope
	Update placer.PeerUpdate
	// Members are the hashes of the names of the daemons that report to the sender; only in messages of ScopeFleet.
	Members []uint64
	// Origins are the origins of streams that the receiver is to remember; only in messages of ScopeReceiver.
	Origins []recorder.Origin
	// Acknowledged are the streams whose origins the receiver has told the sender; only in messages of ScopeReceiver.
	Acknowledged []uint64
	// HoldingsWanted is how many of the parts that targets and stores hold the receiver is asked to tell; only in messages of
	// ScopeReceiver.
	HoldingsWanted int
	// Quota is a message of package allocator; only in messages of ScopeReceiver.
	Quota []byte
}

// maxMessageBytes is the size beyond which no further holdings are added to a message. It lies below the usual MTU of
// 1500 bytes, so that a message fits into one packet unless it has many loads.
const maxMessageBytes = 1400

// Encode returns one datagram with the whole message, or several if the holdings do not fit into one. The first one
// contains all of the rest, and the others only holdings.
func (m Message) Encode() (datagrams [][]byte) {
	head := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	head = protowire.AppendString(head, m.Sender)
	head = appendVarint(head, fieldScope, uint64(m.Scope))
	datagram := m.appendState(append([]byte(nil), head...))
	for _, holding := range m.Update.Holdings {
		if len(datagram) > maxMessageBytes {
			datagrams = append(datagrams, datagram)
			datagram = appendVarint(append([]byte(nil), head...), fieldLoadsOmitted, 1)
		}
		datagram = appendVarints(datagram, fieldHolding, uint64(holding.Target), holding.Key, uint64(holding.Tokens))
	}
	return append(datagrams, datagram)
}

// appendState appends all of the message except the sender, the scope and the holdings.
func (m Message) appendState(datagram []byte) []byte {
	for _, load := range m.Update.Loads {
		values := []uint64{uint64(load.Target), uint64(max(load.Requests, 0)), uint64(max(load.KVCacheTokens, 0))}
		for _, tokens := range load.PendingPrefill {
			values = append(values, uint64(max(tokens, 0)))
		}
		datagram = appendVarints(datagram, fieldLoad, values...)
	}
	for _, announced := range m.Update.AnnouncedVersions {
		datagram = appendAnnouncedVersion(datagram, announced)
	}
	for _, strike := range m.Update.Strikes {
		datagram = appendVarints(datagram, fieldStrike, uint64(strike.Cause), strike.Incarnation, milliseconds(strike.Age), boolNumber(strike.Ended))
	}
	for _, completion := range m.Update.Completions {
		datagram = appendVarints(datagram, fieldCompletion, uint64(completion.Cause), 0, milliseconds(completion.Age))
	}
	for _, limit := range m.Update.RateLimits {
		datagram = appendVarints(datagram, fieldRateLimit, uint64(limit.Target), limitNumber(limit), milliseconds(limit.Age))
	}
	for _, factor := range m.Update.WorkFactors {
		datagram = appendVarints(datagram, fieldWorkFactor, uint64(factor.Target), uint64(max(factor.WorkPercent, 0)), milliseconds(factor.Age))
	}
	for _, incarnation := range m.Update.Departures {
		datagram = appendVarints(datagram, fieldDeparture, uint64(incarnation))
	}
	datagram = appendDemands(datagram, m.Update)
	for _, origin := range m.Origins {
		datagram = appendModel(datagram, fieldOrigin, origin.Software, origin.Number(), origin.Stream)
	}
	datagram = appendHashes(datagram, fieldMembers, m.Members)
	datagram = appendHashes(datagram, fieldAcknowledged, m.Acknowledged)
	datagram = appendVarint(datagram, fieldHoldingsWanted, uint64(max(m.HoldingsWanted, 0)))
	if len(m.Quota) > 0 {
		datagram = protowire.AppendBytes(protowire.AppendTag(datagram, fieldQuota, protowire.BytesType), m.Quota)
	}
	return appendUpgradePlan(datagram, m.Update.UpgradePlan)
}

// milliseconds returns the age as the number that stands for it in messages.
func milliseconds(age time.Duration) uint64 { return uint64(max(age.Milliseconds(), 0)) }

// age returns the age of the submessage.
func (s submessage) age() time.Duration {
	return time.Duration(min(s.numbers[fieldExtra], maxAgeMS)) * time.Millisecond
}

const (
	// maxCount and maxAgeMS bound counts and ages in messages, so that sums of some do not overflow.
	maxCount = 1 << 40
	maxAgeMS = 1 << 40
)

// count returns a number of the submessage that counts something.
func (s submessage) count(field protowire.Number) int { return int(min(s.numbers[field], maxCount)) }

// version returns the version in the submessage.
func (s submessage) version() int64 { return int64(min(s.numbers[fieldVersion], math.MaxInt64)) }

// limitUnit is the number that stands for one request a second in messages, and maxLimit the largest limit in them.
const (
	limitUnit = 1000
	maxLimit  = 1e9
)

// limitNumber returns fieldLimit of a rate limit.
func limitNumber(limit placer.RateLimit) uint64 {
	if !limit.Limited {
		return 0
	}
	return 1 + uint64(min(max(limit.PerSecond, 0), maxLimit)*limitUnit)
}

func (s submessage) rateLimit() placer.RateLimit {
	limit := placer.RateLimit{Target: placer.TargetHash(s.numbers[fieldTarget]), Age: s.age()}
	if number := s.numbers[fieldLimit]; number > 0 {
		limit.Limited, limit.PerSecond = true, float64(number-1)/limitUnit
	}
	return limit
}

func boolNumber(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}

// appendVarint appends a number as a field of the message itself. Zero is omitted.
func appendVarint(message []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return message
	}
	return protowire.AppendVarint(protowire.AppendTag(message, field, protowire.VarintType), value)
}

// appendHashes appends hashes as a field of the message itself. No hashes are omitted.
func appendHashes(message []byte, field protowire.Number, hashes []uint64) []byte {
	if len(hashes) == 0 {
		return message
	}
	var encoded []byte
	for _, hash := range hashes {
		encoded = protowire.AppendFixed64(encoded, hash)
	}
	return protowire.AppendBytes(protowire.AppendTag(message, field, protowire.BytesType), encoded)
}

func decodeHashes(encoded []byte) (hashes []uint64) {
	for len(encoded) > 0 {
		hash, n := protowire.ConsumeFixed64(encoded)
		if n < 0 {
			return hashes
		}
		hashes, encoded = append(hashes, hash), encoded[n:]
	}
	return hashes
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
	return appendModel(message, fieldAnnouncedVersion, announced.Model, uint64(announced.Version), milliseconds(announced.Age))
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

// Decode decodes a datagram, which must not change while the message is used. Unknown fields are skipped.
func Decode(datagram []byte) (message Message, err error) {
	update := &message.Update
	err = fieldreader.Read(datagram, func(field protowire.Number, value []byte) error {
		switch field {
		case fieldName:
			message.Sender = string(value)
			return nil
		case fieldMembers:
			message.Members = decodeHashes(value)
			return nil
		case fieldAcknowledged:
			message.Acknowledged = decodeHashes(value)
			return nil
		case fieldQuota:
			message.Quota = value
			return nil
		}
		decoded, err := decodeSubmessage(value)
		if err != nil {
			return err
		}
		if field == fieldOrigin {
			message.Origins = append(message.Origins, decoded.origin())
		}
		decoded.addTo(update, field)
		return nil
	}, func(field protowire.Number, value uint64) {
		switch field {
		case fieldScope:
			message.Scope = Scope(min(value, math.MaxUint8))
		case fieldLoadsOmitted:
			update.LoadsOmitted = value != 0
		case fieldHoldingsWanted:
			message.HoldingsWanted = int(min(value, maxSnapshotHoldings))
		}
	})
	if err == nil && (message.Sender == "" || message.Scope > ScopeReceiver) {
		err = errMalformed
	}
	return message, err
}

// addTo adds the submessage, which is the value of a field, to the update.
func (s submessage) addTo(update *placer.PeerUpdate, field protowire.Number) {
	switch field {
	case fieldLoad:
		update.Loads = append(update.Loads, s.load())
	case fieldHolding:
		update.Holdings = append(update.Holdings, s.holding())
	case fieldFencingToken:
		update.UpgradePlan.FencingToken = s.numbers[fieldTarget]
	case fieldUpgrading:
		update.UpgradePlan.Upgrading = append(update.UpgradePlan.Upgrading, placer.TargetHash(s.numbers[fieldTarget]))
	case fieldUpgraded:
		update.UpgradePlan.Upgraded = append(update.UpgradePlan.Upgraded, s.upgradedTarget())
	case fieldStrike:
		update.Strikes = append(update.Strikes, s.strike())
	case fieldRateLimit:
		update.RateLimits = append(update.RateLimits, s.rateLimit())
	case fieldWorkFactor:
		update.WorkFactors = append(update.WorkFactors, placer.WorkFactor{
			Target: placer.TargetHash(s.numbers[fieldTarget]), WorkPercent: s.count(fieldRequestCount), Age: s.age(),
		})
	case fieldDeparture:
		update.Departures = append(update.Departures, placer.TargetHash(s.numbers[fieldTarget]))
	case fieldCompletion:
		update.Completions = append(update.Completions, attributor.Completion{Cause: attributor.Cause(s.numbers[fieldCause]), Age: s.age()})
	case fieldDemand:
		s.addDemand(update)
	case fieldAnnouncedVersion:
		update.AnnouncedVersions = append(update.AnnouncedVersions, s.announcedVersion())
	}
}

// submessage is a decoded submessage: its string, if it has one, and its numbers by field.
type submessage struct {
	text    string
	numbers [fieldAccounts + 1]uint64
}

func decodeSubmessage(message []byte) (s submessage, err error) {
	err = fieldreader.Read(message,
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
		Target: placer.TargetHash(s.numbers[fieldTarget]), Requests: s.count(fieldRequestCount), KVCacheTokens: s.count(fieldKVCacheTokens),
	}
	for urgency := range load.PendingPrefill {
		load.PendingPrefill[urgency] = s.count(fieldPendingPrefill + protowire.Number(urgency))
	}
	return load
}

func (s submessage) holding() placer.Holding {
	return placer.Holding{Target: placer.TargetHash(s.numbers[fieldTarget]), Key: s.numbers[fieldKey], Tokens: s.count(fieldTokens)}
}

func (s submessage) strike() attributor.Strike {
	return attributor.Strike{
		Cause: attributor.Cause(s.numbers[fieldCause]), Incarnation: s.numbers[fieldIncarnation], Age: s.age(), Ended: s.numbers[fieldEnded] != 0,
	}
}

func (s submessage) upgradedTarget() placer.UpgradedTarget {
	return placer.UpgradedTarget{Target: placer.TargetHash(s.numbers[fieldExtra]), Model: s.text, Version: s.version()}
}

func (s submessage) origin() recorder.Origin {
	return recorder.OriginOf(s.numbers[fieldExtra], s.text, s.numbers[fieldVersion])
}

func (s submessage) announcedVersion() placer.AnnouncedVersion {
	return placer.AnnouncedVersion{Model: s.text, Version: s.version(), Age: s.age()}
}
