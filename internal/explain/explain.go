// Package explain extracts the lines about a request from the logs of routers.
//
// It prints the lines that mention the request and, from the same VM within two
// seconds of them, the lines about the customer's budget, the upstreams that the
// request was sent to, the queue of its service, and the key-value service.
//
// # Usage
//
//	err := explain.Print(os.Stdout, "c7b8d296ff4cd23b", []string{"urad-1.log", "urad-2.log"})
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/ident"
)

const (
	// timeMargin is how long before and after a line of the request related lines
	// are selected.
	timeMargin = 2 * time.Second
	// maxLineSize limits the length of a log line in bytes. Reading a log with a
	// longer line fails.
	maxLineSize = 1 << 20
	// timeLayout is the layout of the timestamp of a log line.
	timeLayout = "2006-01-02T15:04:05.000000Z07:00"
)

// ErrNotFound reports that no log mentions the request.
var ErrNotFound = errors.New("no log line mentions the request")

// logLine is a parsed log line with the fields that relate it to other lines.
type logLine struct {
	At       string        `json:"@timestamp"`
	VM       ident.VM      `json:"vm"`
	Request  ident.Request `json:"request"`
	Customer string        `json:"customer"`
	Budget   string        `json:"budget"`
	Upstream string        `json:"upstream"`
	Service  string        `json:"service"`
	Event    int           `json:"event"`

	timestamp time.Time
	raw       []byte
}

// Print writes the lines of the logs that relate to a request to w, in order of
// time. It returns ErrNotFound if no line mentions the request.
func Print(w io.Writer, id ident.Request, files []string) (err error) {
	defer func() { err = merry.Prependf(err, "explaining request %s", id) }()
	var all []logLine
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	selected := related(id, all)
	if len(selected) == 0 {
		return ErrNotFound
	}
	for _, l := range selected {
		if _, err := fmt.Fprintf(w, "%s\n", l.raw); err != nil {
			return err
		}
	}
	return nil
}

func readLog(name string) (lines []logLine, err error) {
	defer func() { err = merry.Prependf(err, "reading %s", name) }()
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses a line. It returns false for a line that a router did not
// write.
func parseLine(data []byte) (l logLine, ok bool) {
	if json.Unmarshal(data, &l) != nil {
		return logLine{}, false
	}
	at, err := time.Parse(timeLayout, l.At)
	if err != nil {
		return logLine{}, false
	}
	l.timestamp, l.raw = at, bytes.Clone(data)
	return l, true
}

// related returns the lines of the request and the lines related to them, in order
// of time.
func related(id ident.Request, all []logLine) (selected []logLine) {
	requestLines := slices.DeleteFunc(slices.Clone(all), func(l logLine) bool { return l.Request != id })
	for _, l := range all {
		if l.Request == id || l.Request == "" && slices.ContainsFunc(requestLines, l.relatesTo) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return cmp.Compare(a.timestamp.UnixNano(), b.timestamp.UnixNano()) })
	return selected
}

// storeEventArea is the area of the events of the key-value service: their numbers
// divided by 100.
const storeEventArea = 8

// relatesTo reports whether l may explain a line of the request: both are from the
// same VM and close in time, and l is about the customer's budget, the upstream, the queue
// of the service or the key-value service. An edge router keeps one budget for each customer, under
// the identifier of the customer.
func (l logLine) relatesTo(requestLine logLine) bool {
	if l.VM != requestLine.VM || l.timestamp.Sub(requestLine.timestamp).Abs() > timeMargin {
		return false
	}
	switch {
	case l.Budget != "":
		return l.Budget == requestLine.Customer
	case l.Upstream != "":
		return l.Upstream == requestLine.Upstream
	case l.Service != "":
		return l.Service == requestLine.Service
	}
	return l.Event/100 == storeEventArea
}
