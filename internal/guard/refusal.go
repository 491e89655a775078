package guard

import (
	"fmt"
	"net/http"
	"time"
)

// Bodies of refusals, in the form of the router's other ones.
const (
	refusalBody      = `{"error":{"code":"memory"}}` + "\n"
	headTooLargeBody = `{"error":{"code":"header"}}` + "\n"
	headTimeoutBody  = `{"error":{"code":"headerTimeout"}}` + "\n"
)

// headIsTooLarge reports whether the head of the request that arrives is above the limit. That of one
// that is sent ahead is not known to the server until the response before it has been written.
func (c *conn) headIsTooLarge() bool {
	limit := c.guard.limits().HeadBytes
	return !c.busy && limit > 0 && c.scanner.HeadBytes() > int64(limit)
}

// refuseMemory refuses a request for whose head there is no memory.
func (c *conn) refuseMemory(now time.Time) {
	body := string(c.guard.settings.Refusal)
	if body == "" {
		body = refusalBody
	}
	c.refuse(now, http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.2f\r\n", RetryAfter().Seconds()), body)
}

// refuse writes a response to a request whose head has not been passed on, which ends the
// connection. header has the lines that not every refusal has.
func (c *conn) refuse(now time.Time, status int, header, body string) {
	c.refused = true
	_ = c.Conn.SetWriteDeadline(now.Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)
	c.linger(now)
}
