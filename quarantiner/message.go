package quarantiner

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

// The kinds of requests between daemons, as they are sent.
const (
	kindAnnounce = "announce"
	kindEnd      = "end"
	kindRound    = "round"
	kindIsolate  = "isolate"
	kindPin      = "gate"
	kindUnpin    = "ungate"
)

// message is a request to another daemon or the response to one.
type message struct {
	Kind              string
	From              string
	Fingerprint       Fingerprint
	TargetIncarnation TargetIncarnation
	Outcome           Outcome
	Strikes           []strikeUpdate
	Running           []location
	Granted           bool
	PinnedTarget      string
}

type wireFingerprint struct {
	Account string `json:"account"`
	Digest  string `json:"digest"`
}

type wireStrike struct {
	Fingerprint wireFingerprint `json:"fingerprint"`
	Target      string          `json:"target"`
	Incarnation string          `json:"incarnation"`
	Level       uint8           `json:"level"`
	Cleared     uint8           `json:"cleared,omitempty"`
	AgeMS       int64           `json:"age_ms"`
}

type wireLocation struct {
	Fingerprint wireFingerprint `json:"fingerprint"`
	Target      string          `json:"target"`
}

type wireMessage struct {
	Kind        string           `json:"kind,omitempty"`
	From        string           `json:"from,omitempty"`
	Fingerprint *wireFingerprint `json:"fingerprint,omitempty"`
	Target      string           `json:"target,omitempty"`
	Incarnation string           `json:"incarnation,omitempty"`
	Outcome     int              `json:"outcome,omitempty"`
	Strikes     []wireStrike     `json:"strikes,omitempty"`
	Running     []wireLocation   `json:"running,omitempty"`
	Granted     bool             `json:"granted,omitempty"`
	Pinned      string           `json:"pinned,omitempty"`
}

func toWireFingerprint(f Fingerprint) wireFingerprint {
	return wireFingerprint{Account: f.Account, Digest: f.String()}
}

func fromWireFingerprint(w wireFingerprint) (Fingerprint, error) {
	return ParseFingerprint(w.Account, w.Digest)
}

func toWireStrikes(updates []strikeUpdate) (wire []wireStrike) {
	for _, u := range updates {
		wire = append(wire, wireStrike{
			Fingerprint: toWireFingerprint(u.fingerprint),
			Target:      u.crash.Target,
			Incarnation: u.crash.Incarnation,
			Level:       uint8(u.strike.level),
			Cleared:     uint8(u.strike.clearedLevel),
			AgeMS:       time.Since(u.since).Milliseconds(),
		})
	}
	return wire
}

func fromWireStrikes(wire []wireStrike) (updates []strikeUpdate, err error) {
	for _, w := range wire {
		fingerprint, err := fromWireFingerprint(w.Fingerprint)
		if err != nil {
			return nil, err
		}
		updates = append(updates, strikeUpdate{
			fingerprint: fingerprint,
			crash:       TargetIncarnation{Target: w.Target, Incarnation: w.Incarnation},
			strike:      strike{level: min(level(w.Level), levelCrashed), clearedLevel: min(level(w.Cleared), levelCrashed)},
			since:       time.Now().Add(-time.Duration(w.AgeMS) * time.Millisecond),
		})
	}
	return updates, nil
}

func (m *message) encode() ([]byte, error) {
	wire := wireMessage{
		Kind:        m.Kind,
		From:        m.From,
		Target:      m.TargetIncarnation.Target,
		Incarnation: m.TargetIncarnation.Incarnation,
		Outcome:     int(m.Outcome),
		Strikes:     toWireStrikes(m.Strikes),
		Granted:     m.Granted,
		Pinned:      m.PinnedTarget,
	}
	if m.Fingerprint != (Fingerprint{}) {
		fingerprint := toWireFingerprint(m.Fingerprint)
		wire.Fingerprint = &fingerprint
	}
	for _, l := range m.Running {
		wire.Running = append(wire.Running, wireLocation{Fingerprint: toWireFingerprint(l.fingerprint), Target: l.target})
	}
	return json.Marshal(wire)
}

func decodeMessage(data []byte) (m message, err error) {
	var wire wireMessage
	if err := json.Unmarshal(data, &wire); err != nil {
		return message{}, err
	}
	m = message{
		Kind:              wire.Kind,
		From:              wire.From,
		TargetIncarnation: TargetIncarnation{Target: wire.Target, Incarnation: wire.Incarnation},
		Outcome:           Outcome(wire.Outcome),
		Granted:           wire.Granted,
		PinnedTarget:      wire.Pinned,
	}
	if wire.Fingerprint != nil {
		m.Fingerprint, err = fromWireFingerprint(*wire.Fingerprint)
		if err != nil {
			return message{}, err
		}
	}
	for _, l := range wire.Running {
		fingerprint, err := fromWireFingerprint(l.Fingerprint)
		if err != nil {
			return message{}, err
		}
		m.Running = append(m.Running, location{fingerprint: fingerprint, target: l.Target})
	}
	m.Strikes, err = fromWireStrikes(wire.Strikes)
	return m, err
}

// ask sends a request to another daemon.
func (q *Quarantiner) ask(ctx context.Context, daemon string, request message) (response message, err error) {
	request.From = q.settings.Daemon
	data, err := request.encode()
	if err != nil {
		return message{}, err
	}
	answer, err := q.settings.Peers.Ask(ctx, daemon, data)
	if err != nil {
		return message{}, err
	}
	return decodeMessage(answer)
}

// Answer handles a request of another daemon and returns the response.
func (q *Quarantiner) Answer(ctx context.Context, request []byte) (response []byte, err error) {
	defer Error.WrapP(&err)
	received, err := decodeMessage(request)
	if err != nil {
		return nil, err
	}
	q.merge(received.Strikes)
	var answer message
	switch received.Kind {
	case kindAnnounce:
	case kindEnd:
		q.isolator.release(received.Fingerprint)
	case kindRound:
		answer.Running = q.watchedRuns()
		answer.Strikes = q.strikesMissingFrom(received.Strikes)
	case kindIsolate:
		answer.Granted = q.grant(ctx, received.Fingerprint, received.TargetIncarnation.Target) == nil
		answer.Strikes = q.strikesOf(received.Fingerprint)
	case kindPin:
		answer.PinnedTarget = q.acquirePin(received.From, received.Fingerprint, received.TargetIncarnation)
		answer.Strikes = q.strikesOf(received.Fingerprint)
	case kindUnpin:
		q.releasePin(received.From, received.Fingerprint, received.Outcome)
	default:
		return nil, errUnknownKind
	}
	return answer.encode()
}

// strikesOf returns the strikes of one call.
func (q *Quarantiner) strikesOf(fingerprint Fingerprint) []strikeUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.strikes.ofCall(fingerprint)
}

// strikesMissingFrom returns this daemon's strikes that the peer did not send or sent in another
// state.
func (q *Quarantiner) strikesMissingFrom(sent []strikeUpdate) []strikeUpdate {
	known := make(map[Fingerprint]map[TargetIncarnation]strike)
	for _, u := range sent {
		if known[u.fingerprint] == nil {
			known[u.fingerprint] = make(map[TargetIncarnation]strike)
		}
		known[u.fingerprint][u.crash] = u.strike
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.DeleteFunc(q.strikes.all(), func(u strikeUpdate) bool {
		return known[u.fingerprint][u.crash] == u.strike
	})
}

// merge merges strikes of a peer into the strike table.
func (q *Quarantiner) merge(updates []strikeUpdate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, u := range updates {
		q.strikes.merge(u)
	}
}

// announce sends changed strikes to all peers. It waits until they have responded or
// AnnounceTimeout has passed.
func (q *Quarantiner) announce(ctx context.Context, changed []strikeUpdate) {
	if len(changed) == 0 {
		return
	}
	q.logger.Info("quarantiner: strikes changed", "count", len(changed))
	q.askAll(ctx, q.settings.AnnounceTimeout, message{Kind: kindAnnounce, Strikes: changed}, func(message) {})
}

// announceEnd sends to all peers the end of an isolated run and the strikes that it changed. It
// releases this daemon's reservation for the run; each peer releases its own when it receives the
// message.
func (q *Quarantiner) announceEnd(ctx context.Context, fingerprint Fingerprint, changed []strikeUpdate) {
	q.isolator.release(fingerprint)
	q.askAll(ctx, q.settings.AnnounceTimeout, message{Kind: kindEnd, Fingerprint: fingerprint, Strikes: changed}, func(message) {})
}

// Export encodes strikes for Merge at another daemon, in at most maxBytes bytes. The strikes of the
// calls whose first strike is the most recent come first; strikes that do not fit are left out.
func (q *Quarantiner) Export(maxBytes int) []byte {
	q.mu.Lock()
	updates := q.strikes.all()
	q.mu.Unlock()
	for len(updates) > 0 {
		exported := message{Kind: kindAnnounce, Strikes: updates}
		data, err := exported.encode()
		if err == nil && len(data) <= maxBytes {
			return data
		}
		updates = updates[:len(updates)/2]
	}
	return nil
}

// Merge merges the strikes that a peer exported.
func (q *Quarantiner) Merge(data []byte) (err error) {
	defer Error.WrapP(&err)
	exported, err := decodeMessage(data)
	if err != nil {
		return err
	}
	q.merge(exported.Strikes)
	return nil
}
