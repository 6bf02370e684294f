package dispatcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// MaxOutcomeBytes is the size of the largest answer body that the ledger stores. The rest of a
// platform value is left for the header of the record.
const MaxOutcomeBytes = storer.MaxValueBytes - 16<<10

// record is one entry of the ledger.
type record struct {
	state   State
	daemon  string
	nonce   string
	attempt int
	// retired reports whether the service refuses the key.
	retired bool
	// digest is the request digest of the call.
	digest    string
	service   string
	operation string
	key       string
	account   string
	requestID string
	target    string
	created   time.Time
	// deadline is the deadline of the call that wrote the intent.
	deadline time.Time
	status   int
	// contentType and body are set once the state is StateDone.
	contentType string
	body        []byte
	// tooLarge reports whether the body of the answer exceeded MaxOutcomeBytes and is not stored.
	tooLarge bool
}

// recordHeader is the JSON header of a stored record; the body follows it after a line feed.
type recordHeader struct {
	State          string `json:"state"`
	Daemon         string `json:"daemon"`
	Nonce          string `json:"nonce"`
	Attempt        int    `json:"attempt"`
	Retired        bool   `json:"retired,omitempty"`
	Digest         string `json:"digest"`
	Service        string `json:"service"`
	Operation      string `json:"operation"`
	Key            string `json:"key"`
	Account        string `json:"account"`
	RequestID      string `json:"request_id"`
	Target         string `json:"target"`
	CreatedUnixMS  int64  `json:"created_unix_ms"`
	DeadlineUnixMS int64  `json:"deadline_unix_ms"`
	Status         int    `json:"status,omitempty"`
	ContentType    string `json:"content_type,omitempty"`
	TooLarge       bool   `json:"too_large,omitempty"`
}

var errMalformedRecord = errors.New("malformed record")

// encode returns the platform value of the record.
func (r *record) encode() []byte {
	header, err := json.Marshal(recordHeader{
		State:          r.state.String(),
		Daemon:         r.daemon,
		Nonce:          r.nonce,
		Attempt:        r.attempt,
		Retired:        r.retired,
		Digest:         r.digest,
		Service:        r.service,
		Operation:      r.operation,
		Key:            r.key,
		Account:        r.account,
		RequestID:      r.requestID,
		Target:         r.target,
		CreatedUnixMS:  r.created.UnixMilli(),
		DeadlineUnixMS: r.deadline.UnixMilli(),
		Status:         r.status,
		ContentType:    r.contentType,
		TooLarge:       r.tooLarge,
	})
	if err != nil {
		panic(err) // Strings and numbers always have a JSON form.
	}
	value := append(header, '\n')
	return append(value, r.body...)
}

// decodeRecord decodes the platform value of a record.
func decodeRecord(value []byte) (r record, err error) {
	line, body, found := bytes.Cut(value, []byte{'\n'})
	if !found {
		return record{}, errMalformedRecord
	}
	var header recordHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return record{}, err
	}
	state, ok := parseState(header.State)
	if !ok {
		return record{}, errMalformedRecord
	}
	return record{
		state:       state,
		daemon:      header.Daemon,
		nonce:       header.Nonce,
		attempt:     header.Attempt,
		retired:     header.Retired,
		digest:      header.Digest,
		service:     header.Service,
		operation:   header.Operation,
		key:         header.Key,
		account:     header.Account,
		requestID:   header.RequestID,
		target:      header.Target,
		created:     time.UnixMilli(header.CreatedUnixMS),
		deadline:    time.UnixMilli(header.DeadlineUnixMS),
		status:      header.Status,
		contentType: header.ContentType,
		tooLarge:    header.TooLarge,
		body:        body,
	}, nil
}

func parseState(name string) (state State, ok bool) {
	for _, state := range []State{StateRunning, StateDone, StateNotRun, StateMayHaveRun} {
		if state.String() == name {
			return state, true
		}
	}
	return StateNotHeld, false
}

// setAnswer sets the state to StateDone and adds the answer, without a body that is too large.
func (r *record) setAnswer(answer Answer) {
	r.state = StateDone
	r.status = answer.Status
	r.contentType = answer.ContentType
	r.body = answer.Body
	r.tooLarge = len(answer.Body) > MaxOutcomeBytes
	if r.tooLarge {
		r.body = nil
	}
}

// answer returns the stored answer for a repeat.
func (r *record) answer() Answer {
	return Answer{Status: r.status, ContentType: r.contentType, Body: r.body, Repeated: true}
}
