package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/tokens"
)

const (
	// blockBytes is the length of prompt text that one prefix block covers.
	blockBytes = 256
	// maxBlocks bounds the number of prefixes of one prompt.
	maxBlocks = 32
	// bytesPerToken is the mean length of a token in prompts.
	bytesPerToken = 4
)

// Prefixes returns the block-aligned prefixes of a prompt, the longest first.
func Prefixes(prompt string) []PrefixLength {
	n := min(len(prompt)/blockBytes, maxBlocks)
	prefixes := make([]PrefixLength, 0, n)
	var digest xxhash.Digest
	digest.Reset()
	for i := range n {
		block := prompt[i*blockBytes : (i+1)*blockBytes]
		_, _ = digest.WriteString(block)
		prefixes = append(prefixes, PrefixLength{
			Prefix: Prefix(digest.Sum64()),
			Length: tokens.Count((i + 1) * blockBytes / bytesPerToken),
		})
	}
	slices.Reverse(prefixes)
	return prefixes
}
