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

// Length in tokens of an answer whose prompt does not request one: at least
// minAnswerTokens and less than minAnswerTokens+answerTokensRange.
const (
	minAnswerTokens   = 16
	answerTokensRange = 48
)

// bytesPerToken is the number of prompt bytes counted as one token.
const bytesPerToken = 4

var answerLengthPattern = regexp.MustCompile(`\[answer of (\d{1,6}) tokens\]`)

// WithLength appends to the prompt a request for an answer of n tokens.
func WithLength(prompt string, n int) string {
	return fmt.Sprintf("%s [answer of %d tokens]", prompt, n)
}

// ExpectedAnswer returns the complete answer to a prompt, limited to maxTokens
// tokens. The prompt of a conversation is the contents of its messages, joined
// by LF.
func ExpectedAnswer(prompt string, maxTokens int) string {
	var b strings.Builder
	for i := 1; i <= min(answerLength(prompt), maxTokens); i++ {
		b.WriteString(tokenText(prompt, i))
	}
	return b.String()
}

// PromptTokens returns the number of tokens in a prompt, rounded up.
func PromptTokens(prompt string) tokens.Count {
	return tokens.Count((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}

// answerLength returns the number of tokens in the answer to a prompt if no
// token limit applies.
func answerLength(prompt string) int {
	if m := answerLengthPattern.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1])
		return n
	}
	return minAnswerTokens + int(xxhash.Sum64String(prompt)%answerTokensRange)
}

// tokenText returns the text of the i-th token of the answer to a prompt. It is
// a function of the prompt and of i.
func tokenText(prompt string, i int) string {
	seed := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(prompt))
	seed = binary.BigEndian.AppendUint64(seed, uint64(i))
	return fmt.Sprintf("%06x ", xxhash.Sum64(seed)&0xffffff)
}
