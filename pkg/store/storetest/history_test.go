package storetest

import (
	"context"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
)

// unconditionalStore is a broken store that ignores the condition of a write.
type unconditionalStore struct{ store.Store }

func (b unconditionalStore) Put(ctx context.Context, key string, value []byte, _ store.Condition, lease store.Lease) (store.Revision, error) {
	return b.Store.Put(ctx, key, value, store.Always, lease)
}

// retryingStore is a broken store that repeats a write after any error, including
// that of an unknown outcome.
type retryingStore struct{ store.Store }

func (d retryingStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (store.Revision, error) {
	r, err := d.Store.Put(ctx, key, value, cond, lease)
	if err != nil {
		return d.Store.Put(ctx, key, value, cond, lease)
	}
	return r, nil
}

// TestHistoryCheckBites guards against a linearizability check that accepts the
// histories of broken stores.
func TestHistoryCheckBites(t *testing.T) {
	lossy := func() store.Store {
		service := keyvalue.New(keyvalue.Settings{Seed: 7})
		service.SetFaults(keyvalue.Faults{ResponseLossProbability: 0.3})
		return service.Client()
	}
	for name, tt := range map[string]struct {
		store store.Store
		want  porcupine.CheckResult
	}{
		"correct":       {lossy(), porcupine.Ok},
		"unconditional": {unconditionalStore{lossy()}, porcupine.Illegal},
		"retrying":      {retryingStore{lossy()}, porcupine.Illegal},
	} {
		history := recordHistory(tt.store, 7)
		got := porcupine.CheckOperationsTimeout(registerModel(), history, checkTimeout)
		assert.Equal(t, tt.want, got, name)
	}
}
