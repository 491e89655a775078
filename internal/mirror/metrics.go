package mirror

import (
	"expvar"

	"example.org/lagoonfork/internal/transfer"
)

// readSource is where a mirror reads from. It begins the names of its metrics.
type readSource string

const (
	sourceService readSource = "service"
	sourceRelay   readSource = "relay"
	sourcePeer    readSource = "peer"
)

// metrics counts the reads of a mirror by source. The zero value is ready to use.
type metrics struct{ vars expvar.Map }

// ReadMetrics returns the numbers of reads, of failed reads, of bytes received, and of
// bytes discarded because the read failed, by source.
func (m *Mirror) ReadMetrics() expvar.Var { return &m.metrics.vars }

// record counts a read that ended with err. It returns err with what had arrived.
func (m *metrics) record(from readSource, t *transfer.Transfer, err error) error {
	m.vars.Add(string(from)+"Calls", 1)
	m.vars.Add(string(from)+"Bytes", t.Received())
	if err == nil {
		return nil
	}
	m.vars.Add(string(from)+"Failures", 1)
	m.vars.Add(string(from)+"BytesDiscarded", t.Received())
	return t.Annotate(err)
}
