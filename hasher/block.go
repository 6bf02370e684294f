package hasher

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/xxh3"
)

// blockHashBytes is the length of a block's hash in bytes.
const blockHashBytes = 16

// Block identifies a prefix of whole cache blocks by a hash. Its zero value identifies none.
type Block struct {
	Hi uint64
	Lo uint64
}

// IsZero reports whether the block identifies no prefix.
func (b Block) IsZero() bool { return b == Block{} }

// String returns the text form of the block: 32 lower-case hexadecimal digits.
func (b Block) String() string {
	var raw [blockHashBytes]byte
	b.put(raw[:])
	return hex.EncodeToString(raw[:])
}

// ParseBlock reads the text form of a block. It fails unless the text has exactly 32
// hexadecimal digits.
func ParseBlock(text string) (block Block, err error) {
	defer Error.WrapP(&err)
	var raw [blockHashBytes]byte
	if len(text) != hex.EncodedLen(len(raw)) {
		return Block{}, errBlockLength
	}
	if _, err := hex.Decode(raw[:], []byte(text)); err != nil {
		return Block{}, err
	}
	return Block{Hi: binary.BigEndian.Uint64(raw[:8]), Lo: binary.BigEndian.Uint64(raw[8:])}, nil
}

var errBlockLength = Error.New("block does not have 32 hexadecimal digits")

// put writes the binary form of the block, most significant byte first.
func (b Block) put(raw []byte) {
	binary.BigEndian.PutUint64(raw[:8], b.Hi)
	binary.BigEndian.PutUint64(raw[8:], b.Lo)
}

func blockOf(sum xxh3.Uint128) Block { return Block{Hi: sum.Hi, Lo: sum.Lo} }
