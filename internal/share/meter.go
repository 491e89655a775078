package share

import (
	"math"
	"time"

	"example.org/lagoonfork/pkg/tokens"
)

// Meter estimates the drawing rate of one share. The zero value has seen
// nothing. It is not safe for concurrent use.
type Meter struct {
	rate, peak float64 // tokens per second
	size       float64 // tokens of a usual reservation
	at         int64   // Unix time in nanoseconds of rate and peak
}

const (
	rateWindow = 5 * time.Second
	peakWindow = 2 * time.Minute
	// sizeWeight is the weight of a new reservation in the usual size.
	sizeWeight = 0.1
)

// Reserve counts a reservation of n tokens.
func (m *Meter) Reserve(now time.Time, n tokens.Count) {
	m.Add(now, n)
	m.Expect(n)
	m.size += sizeWeight * (float64(n) - m.size)
}

// Expect sets the usual size of a reservation if none has been seen.
func (m *Meter) Expect(n tokens.Count) {
	if m.size == 0 {
		m.size = float64(n)
	}
}

// Add counts n tokens as drawn; a negative n takes back what a reservation did
// not use.
func (m *Meter) Add(now time.Time, n tokens.Count) {
	m.rate, m.peak = m.Rates(now)
	m.rate = max(m.rate+float64(n)/rateWindow.Seconds(), 0)
	m.peak = max(m.peak, m.rate)
	m.at = max(m.at, now.UnixNano())
}

// Rates returns the present and the highest recent rate in tokens per second.
func (m *Meter) Rates(now time.Time) (rate, peak float64) {
	age := float64(now.UnixNano() - m.at)
	if m.at == 0 || age <= 0 {
		return m.rate, m.peak
	}
	rate = m.rate * math.Exp(-age/float64(rateWindow))
	peak = m.peak * math.Exp(-age/float64(peakWindow))
	return rate, max(rate, peak)
}

// Request returns the usual size of a reservation in tokens.
func (m *Meter) Request() tokens.Count {
	return tokens.Count(math.Ceil(m.size))
}
