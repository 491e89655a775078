package requestframe

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// split returns the parts of a connection's bytes, which are given in pieces of a size.
func split(data string, size int) (parts []string) {
	var s Scanner
	current := ""
	for len(data) > 0 {
		piece := data[:min(size, len(data))]
		before := s.Part()
		n := s.Advance([]byte(piece))
		current += piece[:n]
		data = data[n:]
		if n < len(piece) || s.Part() != before || s.Complete() {
			parts = append(parts, current)
			current = ""
		}
	}
	if current != "" {
		parts = append(parts, current)
	}
	return parts
}

// TestParts guards against a head or body whose end is not found, wherever the reads end.
func TestParts(t *testing.T) {
	tests := map[string][]string{
		"without body":     {"GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"},
		"length":           {"POST / HTTP/1.1\r\ncontent-length: 5\r\nA: b\r\n\r\n", "a\n\r\nb", "GET / HTTP/1.1\r\n\r\n"},
		"length 0":         {"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"},
		"bare line ends":   {"POST / HTTP/1.1\nContent-Length:1\n\n", "a", "GET / HTTP/1.1\n\n"},
		"empty lines":      {"\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"},
		"chunks":           {"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n", "3;x=y\r\na\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"},
		"trailers":         {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\nA: b\r\nC: d\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"},
		"malformed chunk":  {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "x\r\n", "a\r\n\r\n"},
		"malformed length": {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "body\r\n\r\n"},
		"long lines":       {"GET /" + strings.Repeat("x", 300) + " HTTP/1.1\r\nA: " + strings.Repeat("y", 300) + "\r\nContent-Length: 1\r\n\r\n", "z", "G\n\n"},
	}
	for name, parts := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size < 200; size++ {
				require.Equal(t, parts, split(strings.Join(parts, ""), size), "reads of %d bytes", size)
			}
		})
	}
}

// FuzzEndsWhereTheServerEnds guards against bytes that net/http takes for a body or for the next
// head and the scanner for something else.
func FuzzEndsWhereTheServerEnds(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nB: c\r\n\r\nGET /", 3)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n\r\nGET /", 1)
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n\r\n\r\n", 5)
	f.Add("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nFF\r\nGET /", 5)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\t\r\n 3\r\n\r\nabcGET /", 7)
	f.Fuzz(func(t *testing.T, data string, size int) {
		source := strings.NewReader(data)
		reader := bufio.NewReader(source)
		r, err := http.ReadRequest(reader)
		if err != nil || size <= 0 || len(data) > 2000 || r.ProtoMajor != 1 {
			return
		}
		head := len(data) - source.Len() - reader.Buffered()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		end := len(data) - source.Len() - reader.Buffered()
		parts := split(data, size)
		assert.Len(t, parts[0], head)
		if end > head {
			require.Greater(t, len(parts), 1)
			assert.Len(t, parts[1], end-head)
		}
	})
}

// TestHeadBytes guards against a head whose size includes the body or the empty lines before it.
func TestHeadBytes(t *testing.T) {
	first, body, second := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "GET / HTTP/1.1\r\nA: b\r\n\r\n"
	data := "\r\n" + first + body + "\r\n\n" + second + first
	for size := 1; size < len(data); size++ {
		var s Scanner
		var heads []int64
		for rest := data; len(rest) > 0; {
			n := s.Advance([]byte(rest[:min(size, len(rest))]))
			if s.Complete() {
				heads = append(heads, s.HeadBytes())
			}
			rest = rest[n:]
		}
		require.Equal(t, []int64{int64(len(first)), int64(len(second)), int64(len(first))}, heads, "reads of %d bytes", size)
	}
}

// TestLongFramingLines guards against a body that is counted like a head, with many times its size,
// because the line that frames it has many spaces or zeros.
func TestLongFramingLines(t *testing.T) {
	for _, space := range []string{" ", "\t", strings.Repeat(" ", 100), strings.Repeat("\t ", 60)} {
		for _, line := range []string{"Content-Length:" + space + "5" + space, "Content-Length:" + space + strings.Repeat("0", 100) + "5", "Transfer-Encoding:" + space + "chunked" + space} {
			head, body := "POST / HTTP/1.1\r\nHost: h\r\n"+line+"\r\n\r\n", "aaaaa"
			if strings.HasPrefix(line, "T") {
				body = "5" + space + "\r\naaaaa\r\n0\r\n\r\n"
			}
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + body)))
			require.NoError(t, err)
			data, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.Equal(t, "aaaaa", string(data))
			for size := 1; size < len(head+body); size++ {
				next := "GET / HTTP/1.1\r\n\r\n"
				require.Equal(t, []string{head, body, next}, split(head+body+next, size), "%q, reads of %d bytes", line, size)
			}
		}
	}
}

// TestHeadsAreNotHiddenInABody guards against heads that are not counted, because a body that net/http
// does not see, or one that it sees and the scanner takes for a head, seems to go on.
func TestHeadsAreNotHiddenInABody(t *testing.T) {
	const next = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, parts := range map[string][]string{
		"encoding in HTTP/1.0":           {"POST / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n", "FFFF\r\n"},
		"encoding in HTTP/1.0, bare LF":  {"POST / HTTP/1.0\nTransfer-Encoding: chunked\nContent-Length: 6\n\n", "FFFF\r\n"},
		"length in a continued line":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n \r\n\t040\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n"},
		"encoding in a continued line":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", "28\r\nPOST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n\r\n0\r\n\r\n"},
		"continued line of another name": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nA: b\r\n 9\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			data := strings.Join(parts, "")
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(data + next + next)))
			require.NoError(t, err)
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.NotEmpty(t, body)
			for size := 1; size <= len(data+next); size++ {
				require.Equal(t, append(parts[:2:2], next, next), split(data+next+next, size), "reads of %d bytes", size)
			}
		})
	}
}
