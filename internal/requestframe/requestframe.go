// Package requestframe finds the ends of heads and bodies in the bytes that a client sends on an
// HTTP/1.1 connection, without keeping or interpreting them otherwise.
//
// It serves to count what a connection makes the server hold before the server parses it, under
// the load of clients that send very many short header lines, or heads and bodies without end.
// It takes no part in deciding what a request is: where it cannot follow, for example after a
// malformed length, it takes all further bytes for a head, which net/http refuses.
//
// # Usage
//
//	var s requestframe.Scanner
//	n := s.Advance(b) // b[:n] belongs to one part of a request
//	if s.Part() == requestframe.Body {
//		// the next byte belongs to the body of the request
//	}
package requestframe

import (
	"bytes"
	"strconv"
	"strings"
)

// Part is a part of a request.
type Part int

const (
	Head Part = iota // of this or of the next request
	Body             // including the framing of chunks and the trailers
)

// maxNameBytes is how much of a line is kept (see keep). It is enough for the lines that frame a body.
const maxNameBytes = 64

// version10 is the end of the request line of a request whose Transfer-Encoding net/http ignores.
const version10 = " HTTP/1.0"

// state is what the next byte belongs to.
type state int

const (
	inHead state = iota
	inLength
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Scanner follows the requests of one connection. The zero value expects a head. It is not safe
// for concurrent use.
type Scanner struct {
	state     state
	line      []byte // first bytes of the current line
	lineEnd   []byte // last bytes of the request line
	name      string // of the last field of the head, which lines that begin with space continue
	old       bool   // the version is HTTP/1.0
	lineBytes int    // of the current line, without CR
	headBytes int64  // of the head, from its first line that is not empty
	started   bool   // a line of the head that is not empty has ended
	remaining int64  // bytes of the body or of the chunk
	length    int64  // as declared by the head
	chunked   bool
	complete  bool // the last Advance ended a head
}

// Part returns the part that the next byte belongs to.
func (s *Scanner) Part() Part {
	if s.state == inHead {
		return Head
	}
	return Body
}

// Started reports whether a part of the next head has arrived.
func (s *Scanner) Started() bool { return s.state == inHead && (s.started || s.lineBytes > 0) }

// Complete reports whether the last call of Advance ended a head.
func (s *Scanner) Complete() bool { return s.complete }

// HeadBytes returns the number of bytes of the current head that have been consumed, without empty
// lines before it. After a call of Advance that ended a head it is the size of all of it.
func (s *Scanner) HeadBytes() int64 { return s.headBytes }

// Limit returns how many of the next n bytes are certain to belong to the same part, at least
// one.
func (s *Scanner) Limit(n int) int {
	if s.state == inLength {
		return int(min(int64(n), s.remaining))
	}
	return n
}

// Advance consumes bytes up to the end of the current part or of b, and returns how many.
func (s *Scanner) Advance(b []byte) (n int) {
	part := s.Part()
	if s.complete {
		s.complete, s.headBytes = false, 0
	}
	for n < len(b) {
		ended := false
		if s.state == inLength || s.state == inChunk {
			taken := min(int64(len(b)-n), s.remaining)
			n, s.remaining = n+int(taken), s.remaining-taken
			if ended = s.remaining == 0 && s.state == inLength; ended {
				s.state = inHead
			} else if s.remaining == 0 {
				s.state = inChunkEnd
			}
		} else {
			taken := s.takeLine(b[n:])
			n += taken
			if s.state == inHead {
				s.headBytes += int64(taken)
			}
			ended = s.lineEnded() && s.endLine(part)
		}
		if ended {
			return n
		}
	}
	return n
}

// lineDone is the value of lineBytes between the end of a line and its interpretation.
const lineDone = -1

// takeLine consumes bytes up to the end of the line and returns how many.
func (s *Scanner) takeLine(b []byte) int {
	end := bytes.IndexByte(b, '\n')
	taken := b
	if end >= 0 {
		taken = b[:end]
	}
	s.keep(taken)
	if s.state == inHead && !s.started {
		s.keepEnd(taken)
	}
	s.lineBytes += len(taken)
	if end < 0 {
		return len(b)
	}
	if s.lineBytes == 1 && s.line[0] == '\r' {
		s.lineBytes = 0
	}
	if s.lineBytes == 0 {
		s.line = s.line[:0]
	}
	s.lineBytes = lineDone - s.lineBytes
	return end + 1
}

// keep keeps the first bytes of a line, with one space for each sequence of spaces and tabs and
// without leading zeros of a value, of which a line that frames a body may have any number.
func (s *Scanner) keep(b []byte) {
	for _, next := range b {
		if len(s.line) >= maxNameBytes {
			return
		}
		last := byte(0)
		if len(s.line) > 0 {
			last = s.line[len(s.line)-1]
		}
		if next == '\t' {
			next = ' '
		}
		if last == ' ' && next == ' ' || next == '0' && (last == ' ' || last == ':') {
			continue
		}
		s.line = append(s.line, next)
	}
}

// keepEnd keeps the last bytes of the request line.
func (s *Scanner) keepEnd(b []byte) {
	const size = len(version10 + "\r")
	s.lineEnd = append(s.lineEnd, b[max(0, len(b)-size):]...)
	s.lineEnd = append(s.lineEnd[:0], s.lineEnd[max(0, len(s.lineEnd)-size):]...)
}

func (s *Scanner) lineEnded() bool { return s.lineBytes < 0 }

// endLine interprets the line that has ended and reports whether the part has ended with it.
func (s *Scanner) endLine(part Part) bool {
	empty := s.lineBytes == lineDone
	line := string(bytes.TrimRight(s.line, "\r"))
	s.line, s.lineBytes = s.line[:0], 0
	switch s.state {
	case inHead:
		if !empty && s.started {
			s.readField(line)
			return false
		}
		if !s.started {
			s.old = bytes.HasSuffix(bytes.TrimSuffix(s.lineEnd, []byte("\r")), []byte(version10))
			s.lineEnd = s.lineEnd[:0]
		}
		if !empty {
			s.started = true
			return false
		}
		if !s.started {
			s.headBytes = 0
			return false
		}
		s.beginBody()
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		switch {
		case err != nil || n < 0:
			s.state = inHead
		case n == 0:
			s.state = inTrailer
		default:
			s.state, s.remaining = inChunk, n
		}
	case inChunkEnd:
		s.state = inChunkSize
	case inTrailer:
		if empty {
			s.state = inHead
		}
	}
	return part == Head || s.state == inHead
}

// readField reads a line of the head that may frame the body. Like net/http, it takes a line that
// begins with space for a part of the field before. Only one part of a length or an encoding may hold
// more than space.
func (s *Scanner) readField(line string) {
	value := line
	if !strings.HasPrefix(line, " ") {
		s.name, value, _ = strings.Cut(line, ":")
	}
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(s.name, "Content-Length"):
		n, err := strconv.ParseInt(value, 10, 64)
		if err == nil && n > 0 {
			s.length = n
		}
	case strings.EqualFold(s.name, "Transfer-Encoding"):
		s.chunked = s.chunked || strings.EqualFold(value, "chunked") && !s.old
	}
}

// beginBody sets the state after a head.
func (s *Scanner) beginBody() {
	switch {
	case s.chunked:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.remaining = inLength, s.length
	default:
		s.state = inHead
	}
	s.started, s.length, s.chunked, s.name = false, 0, false, ""
	s.complete = true
}
