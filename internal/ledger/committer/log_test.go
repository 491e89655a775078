package committer

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/tokens"
)

// TestRefusedDrawSaysWhereTheTokensAre checks the token counts in the log line of
// a refused draw.
func TestRefusedDrawSaysWhereTheTokensAre(t *testing.T) {
	var out bytes.Buffer
	c := New(Settings{
		Store: keyvalue.New(keyvalue.Settings{Seed: 1}).Client(), Pages: 1, Clock: clock,
		Log: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}),
	})
	for _, op := range []ledger.Op{drawOp("one", 1, 700), drawOp("two", 1, 400)} {
		_, err := c.Apply(t.Context(), op)
		require.NoError(t, err)
	}
	closeAll(t, c)
	var line struct {
		Message                               string `json:"@message"`
		Least, Free, Prepaid, Settled, Others tokens.Count
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, "draw refused", line.Message)
	assert.EqualValues(t, []tokens.Count{400, 300, 1000, 0, 700}, []tokens.Count{line.Least, line.Free, line.Prepaid, line.Settled, line.Others})
}
