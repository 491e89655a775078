// Package event defines the numbered log events of the fleet.
//
// Every log line that an operator may act on carries the number and the name
// of an Event. Numbers are stable: the number of an event that is no longer
// logged is not reused. The catalogue in docs/EVENTS.md lists all events; a test
// compares it with this package.
//
// Numbers are grouped into areas of one hundred: 100 callers, 200 budgets and
// claims, 300 routing and upstreams, 400 configuration, 500 membership, 600
// orders to engines, 700 answers and operators' commands, 800 key-value
// service.
//
// # Usage
//
//	event.RouteChosen.Info(log, "request", id, "upstream", chosen, "reason", reason)
package event

import (
	"cmp"
	"slices"

	"github.com/hashicorp/go-hclog"
)

// Event is a kind of log line with a stable number.
type Event struct {
	Number int
	Name   string
	// Meaning describes to an operator what happened and any action to take.
	Meaning string
}

var catalogue []Event

// define adds an event to the catalogue. It is called only in package variable
// declarations, so that the catalogue is complete after initialization and needs
// no lock.
func define(number int, name, meaning string) Event {
	e := Event{Number: number, Name: name, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in order of number.
func Catalogue() []Event {
	events := slices.Clone(catalogue)
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return events
}

// Debug logs the event at level debug with the given key-value pairs.
func (e Event) Debug(log hclog.Logger, args ...any) {
	log.Debug(e.Name, e.withNumber(args)...)
}

// Info logs the event at level info with the given key-value pairs.
func (e Event) Info(log hclog.Logger, args ...any) {
	log.Info(e.Name, e.withNumber(args)...)
}

// Warn logs the event at level warn with the given key-value pairs.
func (e Event) Warn(log hclog.Logger, args ...any) {
	log.Warn(e.Name, e.withNumber(args)...)
}

// Error logs the event at level error with the given key-value pairs.
func (e Event) Error(log hclog.Logger, args ...any) {
	log.Error(e.Name, e.withNumber(args)...)
}

// withNumber prepends the number of the event to the key-value pairs.
func (e Event) withNumber(args []any) []any {
	return append([]any{"event", e.Number}, args...)
}
