// Package keyvaluetest joins the stand-in key-value service to the contract in
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

// Times of FaultSlow.
const (
	short = 200 * time.Millisecond
	delay = 400 * time.Millisecond
)

// loss is the probability of each kind of loss under FaultLossy.
const loss = 0.15

// New returns a harness for s, whose calls reach the service through client.
func New(service *keyvalue.Service, client *keyvalue.Client, s store.Store) storetest.Harness {
	return storetest.Harness{
		Store:   s,
		Inject:  func(f storetest.Fault) { client.SetFaults(faults(f)) },
		Heal:    func() { client.SetFaults(keyvalue.Faults{}) },
		Release: service.ReleaseHeld,
		Advance: service.Advance,
		Compact: service.Compact,
		Short:   short,
	}
}

func faults(f storetest.Fault) keyvalue.Faults {
	switch f {
	case storetest.FaultOutage:
		return keyvalue.Faults{Outage: true}
	case storetest.FaultAnswerLost:
		return keyvalue.Faults{LoseAnswers: 1}
	case storetest.FaultWriteLost:
		return keyvalue.Faults{LoseWrites: 1}
	case storetest.FaultWriteHeld:
		return keyvalue.Faults{HoldWrites: 1}
	case storetest.FaultSlow:
		return keyvalue.Faults{Delay: delay}
	case storetest.FaultLossy:
		return keyvalue.Faults{AnswerLoss: loss, WriteLoss: loss}
	}
	return keyvalue.Faults{}
}
