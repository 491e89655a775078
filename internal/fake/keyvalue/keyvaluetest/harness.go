// Package keyvaluetest adapts the fake key-value service to the contract tests in
// package storetest.
//
// # Usage
//
//	service := keyvalue.New(keyvalue.Settings{Seed: seed})
//	client := service.Client()
//	h := keyvaluetest.New(service, client, client)
package keyvaluetest

import (
	"time"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/store/storetest"
)

// Times for storetest.FaultSlow. The delay exceeds the timeout, so that a call
// with the timeout ends before a delayed response.
const (
	shortTimeout = 200 * time.Millisecond
	delay        = 400 * time.Millisecond
)

// lossProbability is the probability of a lost write, and of a lost response,
// under storetest.FaultLossy.
const lossProbability = 0.15

// New returns a harness for the store s, whose calls reach service through
// client. Faults are injected into client.
func New(service *keyvalue.Service, client *keyvalue.Client, s store.Store) storetest.Harness {
	return storetest.Harness{
		Store:   s,
		Inject:  func(f storetest.Fault) { client.SetFaults(clientFaults(f)) },
		Heal:    func() { client.SetFaults(keyvalue.Faults{}) },
		Release: service.ReleaseHeld,
		Advance: service.Advance,
		Compact: service.Compact,
		Short:   shortTimeout,
	}
}

// clientFaults returns the client faults that implement f.
func clientFaults(f storetest.Fault) keyvalue.Faults {
	switch f {
	case storetest.FaultOutage:
		return keyvalue.Faults{Outage: true}
	case storetest.FaultResponseLost:
		return keyvalue.Faults{LoseResponses: 1}
	case storetest.FaultWriteLost:
		return keyvalue.Faults{LoseWrites: 1}
	case storetest.FaultWriteHeld:
		return keyvalue.Faults{HoldWrites: 1}
	case storetest.FaultSlow:
		return keyvalue.Faults{Delay: delay}
	case storetest.FaultLossy:
		return keyvalue.Faults{ResponseLossProbability: lossProbability, WriteLossProbability: lossProbability}
	}
	return keyvalue.Faults{}
}
