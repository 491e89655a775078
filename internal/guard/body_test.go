package guard

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
)

// TestBodyThatHasBeenReadHoldsItsSize guards against small bodies without a length that hold 100 KB each
// while they are forwarded, so that others have no memory.
func TestBodyThatHasBeenReadHoldsItsSize(t *testing.T) {
	for _, size := range []int{0, 1, firstPieceBytes - 1, firstPieceBytes, 5000, firstPieceBytes + pieceBytes, 100_000} {
		for _, framing := range []string{"length", "chunked", "trailers"} {
			head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			body := strings.Repeat("x", size)
			chunks := "0\r\n"
			if size > 0 {
				chunks = fmt.Sprintf("%x\r\n%s\r\n0\r\n", size, body)
			}
			want := int64(size)
			switch framing {
			case "length":
				head, chunks = fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size), body
			case "chunked":
				chunks += "\r\n"
			case "trailers":
				head = strings.Replace(head, "Host", "Trailer: A\r\nHost", 1)
				chunks += "A: b\r\n\r\n"
				want += chunkedBytes
			}
			want += int64(len(head)*byteFactor + strings.Count(head, "\n")*lineBytes)
			r := callerlimit.New(callerlimit.Limits{Memory: 8 << 20})
			held, capacity := make(chan int64, 1), make(chan int, 1)
			address := startServer(t, r, func(_ http.ResponseWriter, h *http.Request) {
				got, err := ReadBody(h, 1<<20)
				assert.NoError(t, err)
				held <- r.State().Memory
				total := 0
				for _, piece := range got {
					total += cap(piece)
				}
				capacity <- total
			})
			c := dial(t, address)
			go func() { _, _ = io.WriteString(c, head+chunks) }()
			if memory := <-held; framing == "trailers" {
				assert.GreaterOrEqual(t, memory, want, "%d bytes", size)
			} else {
				assert.Equal(t, want, memory, "%s, %d bytes", framing, size)
			}
			assert.Less(t, <-capacity, size+size/8+64, "%s, %d bytes", framing, size)
			require.Eventually(t, func() bool { return r.State().Memory == 0 }, time.Minute, time.Millisecond)
		}
	}
}
