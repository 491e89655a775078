// Package logpipe decouples the writers of log lines from the output they go to.
//
// A Pipe queues lines and writes them in the background. Write never blocks: when
// the queue is full, lines are dropped and counted, and the count is written
// once the output accepts lines again.
//
// # Usage
//
//	p := logpipe.New(os.Stdout)
//	defer p.Close()
//	log := hclog.New(&hclog.LoggerOptions{Output: p})
package logpipe

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// maxQueuedLines is the maximum number of queued lines.
	maxQueuedLines = 2048
	// maxQueuedBytes is the maximum size of the queued lines. It holds as many lines of usual
	// length. A line that repeats what a caller has sent can be a hundred times as long.
	maxQueuedBytes = 2 << 20
	// flushTimeout limits how long Close waits for the queued lines to be written.
	flushTimeout = 500 * time.Millisecond
)

// Pipe is a non-blocking io.Writer. Its methods are safe for concurrent
// use.
type Pipe struct {
	target  io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes
	dropped atomic.Int64
	tomb    tomb.Tomb
}

// New returns a pipe that writes to target. Nothing else may write to target.
func New(target io.Writer) *Pipe {
	p := &Pipe{target: target, lines: make(chan []byte, maxQueuedLines)}
	p.tomb.Go(p.run)
	return p
}

// Write queues one line, or drops it if the queue is full. It always succeeds.
func (p *Pipe) Write(line []byte) (int, error) {
	size := int64(len(line))
	if p.queued.Add(size) > maxQueuedBytes {
		p.queued.Add(-size)
		p.dropped.Add(1)
		return len(line), nil
	}
	select {
	case p.lines <- bytes.Clone(line):
	default:
		p.queued.Add(-size)
		p.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not yet reported.
func (p *Pipe) Dropped() int64 { return p.dropped.Load() }

// Close writes the queued lines. It returns after flushTimeout if target is still
// blocked by then. The error is always nil.
func (p *Pipe) Close() error {
	p.tomb.Kill(nil)
	select {
	case <-p.tomb.Dead():
	case <-time.After(flushTimeout):
	}
	return nil
}

func (p *Pipe) run() error {
	for {
		select {
		case line := <-p.lines:
			p.writeLine(line)
		case <-p.tomb.Dying():
			p.flush()
			return nil
		}
	}
}

func (p *Pipe) flush() {
	for {
		select {
		case line := <-p.lines:
			p.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, preceded by the number of lines dropped since the last
// report, if any. Write errors are ignored because there is no other place to
// report them.
func (p *Pipe) writeLine(line []byte) {
	p.queued.Add(-int64(len(line)))
	if n := p.dropped.Load(); n > 0 {
		_, _ = fmt.Fprintf(p.target, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", n)
		p.dropped.Add(-n)
	}
	_, _ = p.target.Write(line)
}
