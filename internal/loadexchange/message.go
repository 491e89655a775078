package loadexchange

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/internal/loadexchange/collector"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxBodyBytes limits a message, which has 8 KB for 300 rows, and more if it passes on
	// batches of several routers. See docs/design/load-exchange.md.
	maxBodyBytes = 256 << 10
	// maxUnpackedBytes limits the rows of a batch after decompression: collector.MaxRows rows
	// have some 30 KB.
	maxUnpackedBytes = 128 << 10
	// maxBatches limits the batches of a message: one for each router of a domain of the largest
	// fleet, several times over.
	maxBatches = 128
	// minPackedBytes is the least size of rows that are compressed.
	minPackedBytes = 1 << 10
	windowSize     = 64 << 10
)

var (
	errColumns        = errors.New("columns have different lengths")
	errTooManyRows    = errors.New("too many rows")
	errTooManyBatches = errors.New("too many batches")
)

// message is the body of a call.
type message struct {
	Batches []batch `json:"batches"`
	// View asks for the load of the fleet in the response, with the numbers of the batches of
	// the incarnations in Asks.
	View bool                `json:"view,omitempty"`
	Asks []ident.Incarnation `json:"asks,omitempty"`
}

// batch is a collector.Batch with ages instead of times, because the clocks of VMs differ.
type batch struct {
	VM          ident.VM            `json:"vm"`
	Incarnation ident.Incarnation   `json:"incarnation"`
	Domain      ident.FailureDomain `json:"failureDomain"`
	Sequence    collector.Sequence  `json:"sequence"`
	AgeMillis   int64               `json:"ageMillis,omitempty"`
	EveryMillis int64               `json:"everyMillis"`
	Members     []ident.VM          `json:"members,omitempty"`
	rows
}

// reply is the body of the response to a call.
type reply struct {
	// EveryMillis is the interval of the router that responds.
	EveryMillis int64 `json:"everyMillis"`
	AgeMillis   int64 `json:"ageMillis,omitempty"`
	// Included has the incarnations that were asked for. It lacks those of which the router does
	// not know whether their samples are included.
	Included map[ident.Incarnation]collector.Sequence `json:"included,omitempty"`
	rows
}

// rows holds samples, in one of two forms.
type rows struct {
	Plain *columns `json:"plain,omitempty"`
	// Packed is the JSON of columns as a Zstandard frame.
	Packed []byte `json:"packed,omitempty"`
	size   int    // in a message, when it is encoded
}

// columns holds samples by field, which is smaller than one object for each. A column with
// zeros only is left out.
type columns struct {
	Upstreams    []ident.Upstream `json:"upstreams"`
	Incarnations []string         `json:"incarnations"`
	InFlight     []int            `json:"inFlight,omitempty"`
	UnreadTokens []tokens.Count   `json:"unreadTokens,omitempty"`
	// ReportMillis is the age of the upstream's report plus 1, or 0 if there is none. It refers
	// to the time of the batch or the response.
	ReportMillis    []int64 `json:"reportMillis,omitempty"`
	Running         []int   `json:"running,omitempty"`
	Waiting         []int   `json:"waiting,omitempty"`
	SlowdownPercent []int   `json:"slowdownPercent,omitempty"`
	PaceMicros      []int64 `json:"paceMicros,omitempty"`
	Events          []int   `json:"events,omitempty"`
}

// codec translates between samples and rows. It is safe for concurrent use.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newCodec() *codec {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err) // the options are constant
	}
	return &codec{encoder: encoder, decoder: decoder}
}

// close releases the decoder.
func (c *codec) close() { c.decoder.Close() }

// encode returns the rows of samples, whose ages are those at the given time.
func (c *codec) encode(at time.Time, samples []load.Sample) (r rows, err error) {
	defer func() { err = merry.Prepend(err, "encoding samples") }()
	if len(samples) == 0 {
		return r, nil
	}
	plain := newColumns(at, samples)
	data, err := json.Marshal(plain)
	if err != nil {
		return r, err
	}
	if len(data) < minPackedBytes {
		return rows{Plain: plain, size: len(data)}, nil
	}
	packed := c.encoder.EncodeAll(data, nil)
	return rows{Packed: packed, size: base64.StdEncoding.EncodedLen(len(packed))}, nil
}

// decode returns the samples of rows that were encoded at the given time.
func (c *codec) decode(at time.Time, r rows) (samples []load.Sample, err error) {
	defer func() { err = merry.Prepend(err, "decoding samples") }()
	plain := r.Plain
	if len(r.Packed) > 0 {
		data, err := c.decoder.DecodeAll(r.Packed, nil)
		if err != nil {
			return nil, err
		}
		plain = new(columns)
		if err := json.Unmarshal(data, plain); err != nil {
			return nil, err
		}
	}
	if plain == nil {
		return nil, nil
	}
	return plain.samples(at)
}

func newColumns(at time.Time, samples []load.Sample) *columns {
	samples = slices.Clone(samples)
	slices.SortFunc(samples, func(a, b load.Sample) int { return cmp.Compare(a.Upstream, b.Upstream) }) // compresses better
	c := new(columns)
	for _, s := range samples {
		c.Upstreams = append(c.Upstreams, s.Upstream)
		c.Incarnations = append(c.Incarnations, s.Incarnation)
		c.InFlight = append(c.InFlight, s.InFlight)
		c.UnreadTokens = append(c.UnreadTokens, s.UnreadTokens)
		age := int64(0)
		if !s.Report.At.IsZero() {
			age = millis(at.Sub(s.Report.At)) + 1
		}
		c.ReportMillis = append(c.ReportMillis, age)
		c.Running = append(c.Running, s.Report.Running)
		c.Waiting = append(c.Waiting, s.Report.Waiting)
		c.SlowdownPercent = append(c.SlowdownPercent, int(math.Round(100*s.Report.Slowdown)))
		c.PaceMicros = append(c.PaceMicros, s.Pace.Microseconds())
		c.Events = append(c.Events, s.Events)
	}
	c.InFlight, c.UnreadTokens = nonzero(c.InFlight), nonzero(c.UnreadTokens)
	c.ReportMillis, c.Running, c.Waiting, c.SlowdownPercent = nonzero(c.ReportMillis), nonzero(c.Running), nonzero(c.Waiting), nonzero(c.SlowdownPercent)
	c.PaceMicros, c.Events = nonzero(c.PaceMicros), nonzero(c.Events)
	return c
}

// samples returns the samples of the columns. Values below zero count as zero.
func (c *columns) samples(at time.Time) ([]load.Sample, error) {
	n := len(c.Upstreams)
	for _, length := range []int{len(c.InFlight), len(c.UnreadTokens), len(c.ReportMillis), len(c.Running), len(c.Waiting), len(c.SlowdownPercent), len(c.PaceMicros), len(c.Events)} {
		if length != 0 && length != n {
			return nil, errColumns
		}
	}
	if len(c.Incarnations) != n {
		return nil, errColumns
	}
	if n > collector.MaxRows {
		return nil, errTooManyRows
	}
	all := make([]load.Sample, 0, n)
	for i := range n {
		s := load.Sample{
			Upstream: c.Upstreams[i], Incarnation: c.Incarnations[i],
			InFlight: value(c.InFlight, i), UnreadTokens: value(c.UnreadTokens, i),
			Pace: time.Duration(value(c.PaceMicros, i)) * time.Microsecond, Events: value(c.Events, i),
		}
		if age := value(c.ReportMillis, i); age > 0 {
			s.Report = load.Report{
				At: at.Add(-duration(age - 1)), Running: value(c.Running, i), Waiting: value(c.Waiting, i),
				Slowdown: float64(value(c.SlowdownPercent, i)) / 100,
			}
		}
		all = append(all, s)
	}
	return all, nil
}

// nonzero returns the column, or nil if it has zeros only.
func nonzero[T int | int64 | tokens.Count](column []T) []T {
	if slices.ContainsFunc(column, func(v T) bool { return v != 0 }) {
		return column
	}
	return nil
}

// value returns the value of a row in a column.
func value[T int | int64 | tokens.Count](column []T, row int) T {
	if column == nil {
		return 0
	}
	return max(column[row], 0)
}

// encodeBatch returns the wire form of a batch that is sent now.
func (c *codec) encodeBatch(now time.Time, b collector.Batch) (batch, error) {
	r, err := c.encode(b.At, b.Samples)
	return batch{
		VM: b.VM, Incarnation: b.Incarnation, Domain: b.Domain, Sequence: b.Sequence,
		AgeMillis: millis(now.Sub(b.At)), EveryMillis: millis(b.Every), Members: b.Members, rows: r,
	}, err
}

// decodeBatch returns the batch that has been received now.
func (c *codec) decodeBatch(now time.Time, b batch) (collector.Batch, error) {
	at := now.Add(-duration(b.AgeMillis))
	samples, err := c.decode(at, b.rows)
	return collector.Batch{
		VM: b.VM, Incarnation: b.Incarnation, Domain: b.Domain, Sequence: b.Sequence,
		At: at, Every: duration(b.EveryMillis), Members: b.Members, Samples: samples,
	}, err
}

// maxMillis bounds times on the wire, so that they can be added to others.
const maxMillis = int64(24 * time.Hour / time.Millisecond)

func millis(d time.Duration) int64 { return max(d.Milliseconds(), 0) }

func duration(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMillis)) * time.Millisecond
}
