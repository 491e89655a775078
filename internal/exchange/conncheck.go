package exchange

import (
	"errors"
	"net"
	"syscall"
)

// openAndEmpty reports whether an idle connection is open and has no bytes to read. It
// returns false if the state of the connection cannot be determined.
func openAndEmpty(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
