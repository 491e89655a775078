package keyvalue_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/fake/keyvalue/keyvaluetest"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/store/storetest"
)

func newHarness(seed uint64) func(*testing.T) storetest.Harness {
	return func(*testing.T) storetest.Harness {
		service := keyvalue.New(keyvalue.Settings{Seed: seed})
		client := service.Client()
		return keyvaluetest.New(service, client, client)
	}
}

func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store { return newHarness(1)(t).Store })
}

func TestFaults(t *testing.T) {
	storetest.RunFaults(t, newHarness(1))
}

func TestHistories(t *testing.T) {
	for seed := range uint64(20) {
		storetest.RunHistories(t, seed, newHarness(seed))
	}
}

func TestClientFaultsAreIndependent(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	faulty, healthy := service.Client(), service.Client()
	faulty.SetFaults(keyvalue.Faults{Outage: true})
	_, err := faulty.Get(t.Context(), "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = healthy.Get(t.Context(), "a")
	require.NoError(t, err)
}
