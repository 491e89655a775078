package share

import (
	"math"
	"time"

	"example.org/lagoonfork/pkg/tokens"
)

// Meter estimates the drawing rate of one share. The zero value is ready to use.
// It is not safe for concurrent use.
type Meter struct {
	rate, mean  float64 // tokens per second
	requestSize float64 // tokens of a typical reservation
	updatedAt   int64   // time of rate and mean, in Unix nanoseconds
	firstAt     int64   // time of the first reservation, in Unix nanoseconds
}

const (
	// rateWindow and meanWindow are the time constants of the present and the mean
	// rate.
	rateWindow = 5 * time.Second
	meanWindow = 2 * time.Minute
	// busyRequests is the number of requests within meanWindow that makes a budget
	// worth a reserve in other failure domains.
	busyRequests = 3
	// minObservationGap is the minimum time between two observations of a FleetMeter. A
	// FleetMeter ignores observations that follow sooner.
	minObservationGap = time.Second
	// minMeterAge is the minimum age of a Meter that Meter.Rates assumes when it
	// corrects the present rate.
	minMeterAge = 2 * time.Second
	// sizeWeight is the weight of a new reservation in the typical size.
	sizeWeight = 0.1
)

// Reserve records a reservation of n tokens.
func (m *Meter) Reserve(now time.Time, n tokens.Count) {
	m.Add(now, n)
	m.SetDefaultRequestSize(n)
	m.requestSize += sizeWeight * (float64(n) - m.requestSize)
}

// SetDefaultRequestSize sets the typical size of a reservation if none is known yet.
func (m *Meter) SetDefaultRequestSize(n tokens.Count) {
	if m.requestSize == 0 {
		m.requestSize = float64(n)
	}
}

// Add records n drawn tokens. A negative n takes back tokens that a reservation did
// not use.
func (m *Meter) Add(now time.Time, n tokens.Count) {
	m.rate, m.mean = m.decayed(now)
	if m.firstAt == 0 {
		m.firstAt = now.UnixNano()
	}
	m.rate = max(m.rate+float64(n)/rateWindow.Seconds(), 0)
	m.mean = max(m.mean+float64(n)/meanWindow.Seconds(), 0)
	m.updatedAt = max(m.updatedAt, now.UnixNano())
}

// Rates returns the present and the mean rate in tokens per second. The present rate
// of a new meter is corrected for the short time since its first reservation.
func (m *Meter) Rates(now time.Time) (rate, mean float64) {
	rate, mean = m.decayed(now)
	age := max(time.Duration(now.UnixNano()-m.firstAt), minMeterAge)
	return rate / -math.Expm1(-float64(age)/float64(rateWindow)), mean
}

// RateKnown reports whether there have been reservations for long enough for the present rate to
// tell what the next seconds may need.
func (m *Meter) RateKnown(now time.Time) bool {
	return m.firstAt != 0 && time.Duration(now.UnixNano()-m.firstAt) >= minMeterAge
}

// decayed returns the rates at now, without a correction for the meter's age: they
// count the time before the first reservation as time without reservations.
func (m *Meter) decayed(now time.Time) (rate, mean float64) {
	age := float64(now.UnixNano() - m.updatedAt)
	if m.updatedAt == 0 || age <= 0 {
		return m.rate, m.mean
	}
	rate = m.rate * math.Exp(-age/float64(rateWindow))
	mean = m.mean * math.Exp(-age/float64(meanWindow))
	return rate, mean
}

// FleetMeter estimates the rate at which all holders together spend a budget, from the
// settled totals that the ledger reports. The zero value is ready to use. It is not
// safe for concurrent use.
type FleetMeter struct {
	rate        float64 // tokens per second
	lastSettled tokens.Count
	observedAt  int64 // time of lastSettled, in Unix nanoseconds
}

// Observe records the total number of tokens billed to the budget up to now. It
// ignores an observation less than minObservationGap after the last one.
func (m *FleetMeter) Observe(now time.Time, settled tokens.Count) {
	age := time.Duration(now.UnixNano() - m.observedAt)
	if m.observedAt != 0 && age < minObservationGap {
		return
	}
	if m.observedAt != 0 && settled >= m.lastSettled {
		rate := float64(settled-m.lastSettled) / age.Seconds()
		weight := 1 - math.Exp(-float64(age)/float64(meanWindow))
		m.rate += weight * (rate - m.rate)
	}
	m.lastSettled, m.observedAt = settled, now.UnixNano()
}

// Rate returns the estimated rate in tokens per second.
func (m *FleetMeter) Rate() float64 {
	return m.rate
}

// Busy reports whether the mean rate amounts to at least busyRequests reservations
// of typical size within meanWindow.
func (m *Meter) Busy(now time.Time) bool {
	_, mean := m.Rates(now)
	return mean*meanWindow.Seconds() >= busyRequests*m.requestSize
}

// RequestSize returns the typical size of a reservation in tokens.
func (m *Meter) RequestSize() tokens.Count {
	return tokens.Count(math.Ceil(m.requestSize))
}
