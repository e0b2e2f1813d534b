// Package hasher computes the hashes of prompt prefixes and of requests.
// Daemons and engines must compute the same hashes for the same text.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the prefix blocks.
const (
	// BytesPerToken is the mean length of a token in bytes of text.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block of an engine's prefix cache.
	BlockTokens = 64
	// MaxBlocks is the maximum number of hashes of one prompt.
	MaxBlocks = 32

	blockBytes = BlockTokens * BytesPerToken
)

// EstimateTokens estimates the number of tokens in text, at least 1.
func EstimateTokens(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// PrefixHashes returns one hash for each whole block of the prompt, at most MaxBlocks
// of them. Each hash covers its block and all blocks before it.
func PrefixHashes(prompt string) []uint64 {
	count := min(len(prompt)/blockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	var previous [8]byte
	for i := range count {
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		sum := digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], sum)
		hashes = append(hashes, sum)
	}
	return hashes
}

// Fingerprint returns a hash that is equal for requests of one organisation
// with the same route and the same body.
func Fingerprint(organisation, route string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(organisation)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(route)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}
