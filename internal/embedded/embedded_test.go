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
	"slices"
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
	testAPIKey   = "sample-key-of-a-test-0001"
	waitTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// testAnswers returns answers with two customers, three engines and two plain
// upstreams.
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

// start starts a deployment that is closed at the end of the test.
func start(t *testing.T, routers int, change func(*Settings)) *Deployment {
	s := Settings{
		Answers: testAnswers(t),
		Routers: routers,
		Direct:  true,
		Timing:  testTiming(),
		Engine:  engine.Settings{TokenInterval: time.Millisecond},
		Clock:   time.Now,
		Log:     testLog(),
	}
	if change != nil {
		change(&s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	d, err := Start(ctx, s)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		assert.NoError(t, d.Close(ctx))
	})
	return d
}

// chatResponse is the decoded response to a chat completion request.
type chatResponse struct {
	status   int
	header   http.Header
	text     string
	complete bool // a completion was received to its end
	refusal  struct {
		Code   string `json:"code"`
		NotRun bool   `json:"notRun"`
	}
	usage *wire.Usage
}

// chatRequest describes a chat completion request.
type chatRequest struct {
	system         string // text of a first message, if not empty
	prompt         string
	maxTokens      int
	stream         bool
	idempotencyKey string
	apiKey         string
	onChunk        func(n int) // called after the n-th chunk of a stream, counted from 1
}

// send posts a chat completion request to the server at base and reads the
// whole response.
func send(ctx context.Context, base string, req chatRequest) (r chatResponse, err error) {
	messages := []map[string]string{{"role": "user", "content": req.prompt}}
	if req.system != "" {
		messages = slices.Insert(messages, 0, map[string]string{"role": "system", "content": req.system})
	}
	body, err := json.Marshal(map[string]any{
		"model":      "test-model",
		"max_tokens": req.maxTokens,
		"stream":     req.stream,
		"messages":   messages,
	})
	if err != nil {
		return r, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	apiKey := req.apiKey
	if apiKey == "" {
		apiKey = testAPIKey
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if req.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", req.idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return r, err
	}
	defer response.Body.Close()
	r.status, r.header = response.StatusCode, response.Header
	if req.stream && response.StatusCode == http.StatusOK {
		return r, r.readStream(response.Body, req.onChunk)
	}
	return r, r.readWhole(response.Body)
}

func (r *chatResponse) readWhole(body io.Reader) error {
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
	r.text, r.usage, r.complete = out.Choices[0].Message.Content, out.Usage, true
	return nil
}

func (r *chatResponse) readStream(body io.Reader, onChunk func(int)) error {
	lines := bufio.NewScanner(body)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == wire.Done {
			r.complete = true
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
		if onChunk != nil {
			onChunk(n)
		}
	}
	return lines.Err()
}

func TestWholePath(t *testing.T) {
	d := start(t, 1, func(s *Settings) { s.Direct = false })
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			req := chatRequest{prompt: fmt.Sprint("a question ", stream), maxTokens: 20, stream: stream}
			r, err := send(context.Background(), d.URL(0), req)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, "%+v", r)
			assert.True(t, r.complete)
			assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), r.text)
		})
	}
}
