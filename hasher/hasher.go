// Package hasher computes the identity of prompt prefixes.
//
// A prefix is identified by a chain of hashes over whole cache blocks. The chain starts from a
// seed made of the client account, the weights and the adapter, so that two accounts, two
// weights versions or two adapters never share a hash. A block's hash covers the block and every
// token before it, so one hash is enough to identify a whole prefix.
//
// Hashes have 128 bits. With 64 bits, a fleet that holds 1.2e9 blocks has a collision with a
// probability of 4 %, and an engine that relied on the hash would serve the cache entry of
// another prompt; with 128 bits the probability is below 1e-20. The hash is not cryptographic: it
// separates accounts only in the absence of deliberate collisions, and engines check the account
// of a cache entry as well.
//
// # Usage
//
//	prompt := hasher.Prompt(messages)
//	seed := hasher.Seed(account, weights, adapter)
//	chain := hasher.Blocks(seed, prompt, blockTokens)
//	tokens := hasher.Tokens(prompt)
//
// The last block of the chain identifies the longest prefix of whole blocks. ParseBlock reads the
// text form of a block, which engines use on the wire.
package hasher

import (
	"encoding/binary"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// Error is the class of all errors of this package.
var Error = errs.Class("hasher")

// BytesPerToken is the number of bytes of a prompt that count as one token.
const BytesPerToken = 4

// Message is one message of a conversation.
type Message struct {
	Role    string
	Content string
}

// Prompt returns the text that the engines prefill for the messages: each message in order as
// its role, a line feed, its content and a line feed.
func Prompt(messages []Message) string {
	size := 0
	for _, message := range messages {
		size += len(message.Role) + len(message.Content) + 2
	}
	var text strings.Builder
	text.Grow(size)
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteByte('\n')
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// Tokens returns the number of tokens of a prompt. The last token may have fewer than
// BytesPerToken bytes.
func Tokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// SeedHash is the hash from which a chain of blocks starts.
type SeedHash Block

// Seed returns the hash from which the chains of an account with the weights and the adapter
// start. The adapter is empty if none is loaded.
func Seed(account, weights, adapter string) SeedHash {
	size := 0
	for _, part := range [...]string{account, weights, adapter} {
		size += binary.MaxVarintLen64 + len(part)
	}
	buffer := make([]byte, 0, size)
	for _, part := range [...]string{account, weights, adapter} {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	return SeedHash(blockOf(xxh3.Hash128(buffer)))
}

// Blocks returns the chain of the whole blocks of a prompt, the shortest prefix first. Tokens
// after the last whole block are not hashed. The chain is empty if the block size is below one.
func Blocks(seed SeedHash, prompt string, blockTokens int) []Block {
	if blockTokens < 1 {
		return nil
	}
	blockBytes := blockTokens * BytesPerToken
	chain := make([]Block, 0, len(prompt)/blockBytes)
	hash := xxh3.New128()
	parent := Block(seed)
	for len(prompt) >= blockBytes {
		parent = nextBlock(hash, parent, prompt[:blockBytes])
		chain = append(chain, parent)
		prompt = prompt[blockBytes:]
	}
	return chain
}

// nextBlock returns the hash of the block whose tokens follow the prefix that parent identifies.
func nextBlock(hash *xxh3.Hasher128, parent Block, tokens string) Block {
	hash.Reset()
	var prefix [blockHashBytes]byte
	parent.put(prefix[:])
	// Writes to the hash never fail.
	_, _ = hash.Write(prefix[:])
	_, _ = hash.WriteString(tokens)
	return blockOf(hash.Sum128())
}
