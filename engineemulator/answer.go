package engineemulator

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"
)

// Answer returns the first tokens of the answer to a prompt as text. Each token is the
// letter w, eight hexadecimal digits and a space.
func Answer(prompt string, tokens int) string {
	return answerRange(xxh3.HashString(prompt), 0, tokens)
}

// answerRange returns the text of the tokens at the positions from <= i < to.
func answerRange(promptHash uint64, from, to int) string {
	var text strings.Builder
	var position [8]byte
	for i := from; i < to; i++ {
		binary.BigEndian.PutUint64(position[:], uint64(i))
		fmt.Fprintf(&text, "w%08x ", uint32(xxh3.HashSeed(position[:], promptHash)))
	}
	return text.String()
}
