package configurator

import (
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// maxStateBytes bounds the decompressed size of a state.
const maxStateBytes = 256 << 20

// state is a complete configuration at one revision.
type state struct {
	digest      Digest
	objects     registrar.Objects
	checkpoints []checkpoint
	// tip contains the newest entry, whose revision is that of digest; it is empty at revision 0.
	tip []entry
}

// intervalCheckpoints returns the checkpoints at multiples of checkpointInterval, which a history
// keeps.
func (s state) intervalCheckpoints() []checkpoint {
	var retained []checkpoint
	for _, c := range s.checkpoints {
		if c.revision%checkpointInterval == 0 {
			retained = append(retained, c)
		}
	}
	return retained
}

type wireCheckpoint struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
}

// wireState is the JSON encoding of a state before it is compressed with gzip.
type wireState struct {
	Revision    uint64           `json:"revision"`
	Hash        string           `json:"hash"`
	Checkpoints []wireCheckpoint `json:"checkpoints"`
	Tip         []byte           `json:"tip,omitempty"`
	Objects     json.RawMessage  `json:"objects"`
}

func encodeState(s state) (data []byte, err error) {
	objects, err := encoder.EncodeObjects(s.objects)
	if err != nil {
		return nil, err
	}
	wire := wireState{
		Revision: uint64(s.digest.Revision),
		Hash:     hex.EncodeToString(s.digest.Hash[:]),
		Objects:  objects,
	}
	for _, e := range s.tip {
		wire.Tip = e.raw
	}
	for _, c := range s.checkpoints {
		wire.Checkpoints = append(wire.Checkpoints, wireCheckpoint{
			Revision: uint64(c.revision),
			Hash:     hex.EncodeToString(c.hash[:]),
		})
	}
	text, err := json.Marshal(wire)
	if err != nil {
		return nil, err
	}
	return compress(text)
}

func decodeState(data []byte) (s state, err error) {
	text, err := decompress(data)
	if err != nil {
		return state{}, err
	}
	var wire wireState
	if err := json.Unmarshal(text, &wire); err != nil {
		return state{}, err
	}
	s.digest.Revision = registrar.Revision(wire.Revision)
	if s.digest.Hash, err = decodeHash(wire.Hash); err != nil {
		return state{}, err
	}
	for _, c := range wire.Checkpoints {
		hash, err := decodeHash(c.Hash)
		if err != nil {
			return state{}, err
		}
		s.checkpoints = append(s.checkpoints, checkpoint{revision: registrar.Revision(c.Revision), hash: hash})
	}
	if s.tip, err = decodeTip(wire.Tip, s.digest); err != nil {
		return state{}, err
	}
	s.objects, err = encoder.DecodeObjects(wire.Objects)
	return s, err
}

func decodeTip(raw Entry, digest Digest) (tip []entry, err error) {
	if len(raw) == 0 {
		return nil, nil
	}
	e, err := decodeEntry(raw)
	if err != nil {
		return nil, err
	}
	if e.hash != digest.Hash || e.revision != digest.Revision {
		return nil, errors.New("its newest entry is not that of its digest")
	}
	return []entry{e}, nil
}

func compress(text []byte) (data []byte, err error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(text); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decompress(data []byte) (text []byte, err error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	text, err = io.ReadAll(io.LimitReader(reader, maxStateBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxStateBytes {
		return nil, fmt.Errorf("state has more than %d bytes", maxStateBytes)
	}
	return text, nil
}
