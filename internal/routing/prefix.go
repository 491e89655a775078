package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of the prompt's beginning that identifies the
// prompts which may share a cached prefix.
const prefixBytes = 1024

// Prefix identifies the beginning of a prompt. The router sends it to engines
// as the cache key.
type Prefix string

// PrefixOf returns the prefix of a prompt, or an empty one if the prompt is too
// short to be worth caching.
func PrefixOf(prompt string) Prefix {
	if len(prompt) < prefixBytes {
		return ""
	}
	return Prefix(strconv.FormatUint(xxhash.Sum64String(prompt[:prefixBytes]), 16))
}
