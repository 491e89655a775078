package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	smallFleet = scenario{routers: 9, upstreams: 18, duration: 25 * time.Second, soundPerSecond: 60, firstParts: 4, peerDelay: 60 * time.Millisecond, maxWait: 400 * time.Millisecond}
	largeFleet = scenario{routers: 390, upstreams: 1100, duration: 12 * time.Second, soundPerSecond: 1100, firstParts: 60, peerDelay: 150 * time.Millisecond, maxWait: 400 * time.Millisecond}
)

func (s scenario) with(change func(s *scenario)) scenario {
	change(&s)
	return s
}

// endSome ends n upstreams at a time, count times.
func endSome(n, count int, interval time.Duration) func(d *drive) {
	return func(d *drive) {
		for i := range count {
			d.after(5*time.Second+time.Duration(i)*interval, func() {
				for range min(n, len(d.alive)) {
					d.endUpstream(d.alive[d.rng.IntN(len(d.alive))])
				}
			})
		}
	}
}

// TestCrashingPartsAreStoppedInTime guards against parts of prompts that crash one upstream after the other, at any router.
func TestCrashingPartsAreStoppedInTime(t *testing.T) {
	source := func(perSecond float64, parts ...string) crashSource {
		return crashSource{parts: parts, customer: "c0", perSecond: perSecond, start: 3 * time.Second}
	}
	later := source(4, "bad")
	later.start, later.soundTill = 0, 6*time.Second
	second := source(4, "bad")
	second.customer, second.start = "c1", 8*time.Second
	tests := []struct {
		name string
		s    scenario
	}{
		{"one part", smallFleet.with(func(s *scenario) { s.crashing = []crashSource{source(4, "bad")} })},
		{"few requests", smallFleet.with(func(s *scenario) { s.crashing = []crashSource{source(0.5, "bad")} })},
		{"many requests", smallFleet.with(func(s *scenario) { s.crashing = []crashSource{source(40, "bad")} })},
		{"two parts in the same requests", smallFleet.with(func(s *scenario) { s.crashing = []crashSource{source(4, "bad", "worse")} })},
		{"two parts in different requests", smallFleet.with(func(s *scenario) { s.crashing = []crashSource{source(4, "bad"), source(4, "worse")} })},
		{"two customers", smallFleet.with(func(s *scenario) { s.crashing = []crashSource{source(4, "bad"), second} })},
		{"a part that was sound before", smallFleet.with(func(s *scenario) { s.crashing = []crashSource{later} })},
		{"during a release", smallFleet.with(func(s *scenario) {
			s.crashing, s.ends = []crashSource{source(4, "bad")}, endSome(1, 18, 700*time.Millisecond)
		})},
		{"while a failure domain is lost", smallFleet.with(func(s *scenario) {
			s.crashing, s.ends = []crashSource{source(4, "bad")}, endSome(6, 1, 0)
		})},
		{"one first part", smallFleet.with(func(s *scenario) { s.crashing, s.firstParts = []crashSource{source(4, "bad")}, 1 })},
		{"long waits", smallFleet.with(func(s *scenario) { s.crashing, s.maxWait = []crashSource{source(4, "bad")}, 3*time.Second })},
		{"slow exchange", smallFleet.with(func(s *scenario) { s.crashing, s.peerDelay = []crashSource{source(4, "bad")}, time.Second })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				d := play(t, tt.s, seed)
				for part, crashes := range d.crashTimes {
					late := d.lateSends(part)
					t.Logf("seed %d: %d crashes under %s, %d requests late; %d upstreams ended, %d sound requests of %d refused, %d held", seed, len(crashes), part, late, d.ended, d.refused, len(d.sound), d.held)
					assert.LessOrEqual(t, late, maxLateRequests, "seed %d", seed)
				}
				before, after := d.servedFraction(0, 3*time.Second), d.servedFraction(tt.s.duration-8*time.Second, tt.s.duration-3*time.Second)
				assert.GreaterOrEqual(t, after, minSoundFraction*before, "seed %d", seed)
			}
		})
	}
}

// TestCrashingPartIsStoppedInTheLargestFleet is TestCrashingPartsAreStoppedInTime in a fleet of the size to design for.
func TestCrashingPartIsStoppedInTheLargestFleet(t *testing.T) {
	s := largeFleet
	s.crashing = []crashSource{{parts: []string{"bad"}, customer: "c0", perSecond: 20, start: time.Second}}
	d := play(t, s, 1)
	t.Logf("%d crashes, %d requests late; %d sound requests of %d refused", len(d.crashTimes["bad"]), d.lateSends("bad"), d.refused, len(d.sound))
	assert.LessOrEqual(t, d.lateSends("bad"), maxLateRequests)
	assert.GreaterOrEqual(t, d.servedFraction(6*time.Second, 9*time.Second), minSoundFraction)
}

// TestNoPartIsRefusedWithoutGuilt guards against the refusal of requests because upstreams or connections end for other reasons.
func TestNoPartIsRefusedWithoutGuilt(t *testing.T) {
	cut := func(d *drive) {
		for i := range 10 {
			d.after(time.Duration(i+2)*time.Second, func() {
				for _, u := range d.alive {
					d.lose(u, func(r *driveRequest) bool { return r.router == 0 }, false)
				}
			})
		}
	}
	tests := []struct {
		name string
		s    scenario
	}{
		{"a failure domain is lost", smallFleet.with(func(s *scenario) { s.ends = endSome(6, 1, 0) })},
		{"all upstreams are lost", smallFleet.with(func(s *scenario) { s.ends = endSome(18, 1, 0) })},
		{"upstreams are taken back", smallFleet.with(func(s *scenario) { s.ends = endSome(1, 9, 300*time.Millisecond) })},
		{"a release under load", smallFleet.with(func(s *scenario) { s.ends, s.maxWait = endSome(1, 18, time.Second), 3*time.Second })},
		{"a release", smallFleet.with(func(s *scenario) { s.ends = endSome(1, 18, time.Second) })},
		{"a release in pairs", smallFleet.with(func(s *scenario) { s.ends = endSome(2, 9, 1500*time.Millisecond) })},
		{"connections of a router are reset", smallFleet.with(func(s *scenario) { s.ends = cut })},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				d := play(t, tt.s, seed)
				t.Logf("seed %d: %d upstreams ended, %d of %d requests refused, %d held", seed, d.ended, d.refused, len(d.sound), d.held)
				assert.Zero(t, d.refused, "seed %d", seed)
			}
		})
	}
}
