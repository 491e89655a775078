package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type event struct {
	id   string
	data string
}

func readAll(r *Reader) (events []event, err error) {
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		id := "-"
		if e.ID != nil {
			id = string(e.ID)
		}
		events = append(events, event{id, string(e.Data)})
	}
}

func TestReader(t *testing.T) {
	long := strings.Repeat("x", 5*initialSize)
	tests := []struct {
		name, in string
		want     []event
		err      error
	}{
		{"empty", "", nil, io.EOF},
		{"one event", "id: 1\ndata: a\n\n", []event{{"1", "a"}}, io.EOF},
		{"no id", "data: a\n\ndata: b\n\n", []event{{"-", "a"}, {"-", "b"}}, io.EOF},
		{"id does not last", "id: 1\ndata: a\n\ndata: b\n\n", []event{{"1", "a"}, {"-", "b"}}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []event{{"1", "a"}}, io.EOF},
		{"two lines", "data: a\ndata: b\n\n", []event{{"-", "a\nb"}}, io.EOF},
		{"no space", "data:a\n\n", []event{{"-", "a"}}, io.EOF},
		{"comments and other fields", ": hello\nevent: x\nretry: 5\n\n:\n\ndata: a\n\n", []event{{"-", "a"}}, io.EOF},
		{"event without data", "id: 4\n\ndata: a\n\n", []event{{"-", "a"}}, io.EOF},
		{"long", "data: " + long + "\n\n", []event{{"-", long}}, io.EOF},
		{"cut in a line", "data: a\n\ndata: b", []event{{"-", "a"}}, io.ErrUnexpectedEOF},
		{"cut after a line", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"too large", "data: " + strings.Repeat("x", 2*MaxSize) + "\n\n", nil, ErrTooLarge},
		{"comment too large", ":" + strings.Repeat("x", 3*MaxSize) + "\n\ndata: a\n\n", nil, ErrTooLarge},
		{"too large in lines", strings.Repeat("data: "+long+"\n", MaxSize/len(long)+2) + "\n", nil, ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := readAll(NewReader(strings.NewReader(test.in)))
			require.ErrorIs(t, err, test.err)
			assert.Equal(t, test.want, got)
			got, err = readAll(NewReader(iotest.OneByteReader(strings.NewReader(test.in))))
			require.ErrorIs(t, err, test.err)
			assert.Equal(t, test.want, got, "byte by byte")
		})
	}
}

func TestReaderPassesErrorsOn(t *testing.T) {
	broken := errors.New("broken")
	r := NewReader(io.MultiReader(strings.NewReader("data: a\n\ndata: b\n"), iotest.ErrReader(broken)))
	got, err := readAll(r)
	require.ErrorIs(t, err, broken)
	assert.Equal(t, []event{{"-", "a"}}, got)
	r.Reset(strings.NewReader("data: c\n\n"))
	got, err = readAll(r)
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, []event{{"-", "c"}}, got)
}

// FuzzReader checks that the sizes of reads do not change the events, and that
// events are unchanged after being written and read again.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\n\ndata: b\r\ndata:c\r\n\r\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte("id\ndata\n\nid: \xff\ndata: \x00\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, err := readAll(NewReader(bytes.NewReader(in)))
		pieces, piecesErr := readAll(NewReader(iotest.OneByteReader(bytes.NewReader(in))))
		assert.Equal(t, whole, pieces)
		assert.Equal(t, err, piecesErr)
		var out bytes.Buffer
		for _, e := range whole {
			if e.id != "-" {
				fmt.Fprintf(&out, "id: %s\r\n", e.id)
			}
			fmt.Fprintf(&out, "data: %s\r\n\n", strings.ReplaceAll(e.data, "\n", "\r\ndata: "))
		}
		again, err := readAll(NewReader(&out))
		require.ErrorIs(t, err, io.EOF)
		assert.Equal(t, whole, again)
	})
}

func BenchmarkReader(b *testing.B) {
	in := strings.Repeat("id: 12\ndata: "+strings.Repeat("x", 160)+"\n\n", 1000)
	b.ReportAllocs()
	source := strings.NewReader(in)
	r := NewReader(source)
	for range b.N {
		if _, err := r.Next(); err != nil {
			source.Reset(in)
			r.Reset(source)
		}
	}
}

func ExampleReader() {
	r := NewReader(strings.NewReader("id: 1\ndata: hello\n\ndata: [DONE]\n\n"))
	for {
		e, err := r.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%q %s\n", e.ID, e.Data)
	}
	// Output:
	// "1" hello
	// "" [DONE]
	// EOF
}
