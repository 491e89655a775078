package engine

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/tokens"
)

// Bounds of the length of an answer whose prompt does not give it.
const (
	minLength   = 16 // tokens
	lengthRange = 48 // tokens
)

// bytesPerToken is the number of prompt bytes that the engine counts as a token.
const bytesPerToken = 4

var lengthPattern = regexp.MustCompile(`\[answer of (\d{1,6}) tokens\]`)

// WithLength returns the prompt with a request for an answer of n tokens.
func WithLength(prompt string, n int) string {
	return fmt.Sprintf("%s [answer of %d tokens]", prompt, n)
}

// ExpectedAnswer returns the whole answer to a prompt. The prompt of a
// conversation is the contents of its messages, joined by LF.
func ExpectedAnswer(prompt string, maxTokens int) string {
	var b strings.Builder
	for i := 1; i <= min(answerLength(prompt), maxTokens); i++ {
		b.WriteString(tokenText(prompt, i))
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) tokens.Count {
	return tokens.Count((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}

// answerLength returns the number of tokens after which an answer ends by
// itself.
func answerLength(prompt string) int {
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1])
		return n
	}
	return minLength + int(xxhash.Sum64String(prompt)%lengthRange)
}

// tokenText returns the i-th token of the answer to a prompt.
func tokenText(prompt string, i int) string {
	seed := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(prompt))
	seed = binary.BigEndian.AppendUint64(seed, uint64(i))
	return fmt.Sprintf("%06x ", xxhash.Sum64(seed)&0xffffff)
}
