package embedded

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/router"
	"example.org/lagoonfork/pkg/answers"
	wire "example.org/lagoonfork/pkg/engine"
)

const (
	testKey = "sample-key-of-a-test-0001"
	waitFor = 20 * time.Second
	tick    = 10 * time.Millisecond
)

// testAnswers has two customers, three engines and two plain upstreams.
func testAnswers(t testing.TB) answers.Answers {
	data, err := os.ReadFile("testdata/answers.json")
	require.NoError(t, err)
	a, err := answers.Decode(data)
	require.NoError(t, err)
	return a
}

func testTiming() router.Timing {
	return router.Timing{
		Survey:   50 * time.Millisecond,
		Probe:    100 * time.Millisecond,
		Maintain: 50 * time.Millisecond,
	}
}

func testLog() hclog.Logger {
	if testing.Verbose() && os.Getenv("TEST_LOG") != "" {
		return hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: os.Stderr})
	}
	return hclog.NewNullLogger()
}

// start runs a deployment that the test closes.
func start(t *testing.T, routers int, change func(*Settings)) *Deployment {
	s := Settings{
		Answers: testAnswers(t),
		Routers: routers,
		Direct:  true,
		Timing:  testTiming(),
		Engine:  engine.Settings{TokenPace: time.Millisecond},
		Clock:   time.Now,
		Log:     testLog(),
	}
	if change != nil {
		change(&s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitFor)
	defer cancel()
	d, err := Start(ctx, s)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitFor)
		defer cancel()
		assert.NoError(t, d.Close(ctx))
	})
	return d
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	text    string
	whole   bool // the answer came with its end
	refusal struct {
		Code   string `json:"code"`
		NotRun bool   `json:"notRun"`
	}
	usage *wire.Usage
}

type ask struct {
	prompt string
	tokens int
	stream bool
	key    string // idempotency key
	bearer string
	piece  func(n int) // called after each piece of a stream
}

// send posts a chat completion.
func send(ctx context.Context, base string, a ask) (r reply, err error) {
	body, err := json.Marshal(map[string]any{
		"model":      "test-model",
		"max_tokens": a.tokens,
		"stream":     a.stream,
		"messages":   []map[string]string{{"role": "user", "content": a.prompt}},
	})
	if err != nil {
		return r, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	bearer := a.bearer
	if bearer == "" {
		bearer = testKey
	}
	request.Header.Set("Authorization", "Bearer "+bearer)
	if a.key != "" {
		request.Header.Set("Idempotency-Key", a.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return r, err
	}
	defer response.Body.Close()
	r.status, r.header = response.StatusCode, response.Header
	if a.stream && response.StatusCode == http.StatusOK {
		return r, r.readStream(response.Body, a.piece)
	}
	return r, r.readWhole(response.Body)
}

func (r *reply) readWhole(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var out struct {
		wire.Completion
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return fmt.Errorf("%w: %s", err, data)
	}
	if out.Error != nil {
		return json.Unmarshal(out.Error, &r.refusal)
	}
	r.text, r.usage, r.whole = out.Choices[0].Message.Content, out.Usage, true
	return nil
}

func (r *reply) readStream(body io.Reader, piece func(int)) error {
	lines := bufio.NewScanner(body)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == wire.Done {
			r.whole = true
			continue
		}
		var chunk wire.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		for _, c := range chunk.Choices {
			r.text += c.Delta.Content
		}
		n++
		if piece != nil {
			piece(n)
		}
	}
	return lines.Err()
}

func TestWholePath(t *testing.T) {
	d := start(t, 1, func(s *Settings) { s.Direct = false })
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			a := ask{prompt: fmt.Sprint("a question ", stream), tokens: 20, stream: stream}
			r, err := send(context.Background(), d.URL(0), a)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, "%+v", r)
			assert.True(t, r.whole)
			assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), r.text)
		})
	}
}
