package transfer

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestErrorTellsHowFarTheResponseHadArrived(t *testing.T) {
	now := time.Unix(1000, 0)
	ctx, transfer := Start(t.Context(), func() time.Time { return now })
	cause := errors.New("cut off")
	now = now.Add(100 * time.Millisecond)
	assert.EqualError(t, transfer.Annotate(cause), "no response after 100ms: cut off")
	body := Reader(ctx, strings.NewReader("four"))
	now = now.Add(50 * time.Millisecond)
	_, err := io.ReadAll(body)
	require.NoError(t, err)
	err = transfer.Annotate(cause)
	assert.ErrorIs(t, err, cause)
	assert.EqualError(t, err, "response began after 100ms, 4 bytes received after 150ms: cut off")
	assert.EqualValues(t, 4, transfer.Received())
	assert.Equal(t, now, transfer.FirstByte(now.Add(time.Second)), "the header came 50 ms earlier")
	assert.NoError(t, transfer.Annotate(nil))
}

func TestReaderWithoutTransfer(t *testing.T) {
	data, err := io.ReadAll(Reader(t.Context(), strings.NewReader("four")))
	require.NoError(t, err)
	assert.Equal(t, "four", string(data))
}
