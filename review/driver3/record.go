//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. Its methods are safe for concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, w: bufio.NewWriter(file)}, nil
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", now.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// conclude writes a line to the record and to the standard output.
func (r *record) conclude(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.w.Flush(), r.file.Close())
}
