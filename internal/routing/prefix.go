package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixLength is the number of leading bytes of a prompt that identify its
// prefix. Prompts that agree in them may share a cached prefix.
const prefixLength = 1024

// Prefix identifies the beginning of a prompt by its hash. The router sends it
// to engines as the cache key.
type Prefix string

// PrefixOf returns the prefix of a prompt, or an empty one if the prompt is
// shorter than prefixLength and so too short to be worth caching.
func PrefixOf(prompt string) Prefix {
	if len(prompt) < prefixLength {
		return ""
	}
	return Prefix(strconv.FormatUint(xxhash.Sum64String(prompt[:prefixLength]), 16))
}
