package plainservice

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/pkg/plainservicetest"
)

func TestContract(t *testing.T) {
	s := New(Settings{Slots: 2})
	defer func() { assert.NoError(t, s.Close()) }()
	faults := map[plainservicetest.Fault]Faults{
		plainservicetest.FaultNotRun:     {NotRun: true},
		plainservicetest.FaultDropBefore: {DropBeforeExecution: true},
		plainservicetest.FaultDropAfter:  {DropAfterExecution: true},
		plainservicetest.FaultDropWithin: {DropDuringBody: true},
	}
	plainservicetest.Run(t, plainservicetest.Target{
		Address:     s.Address(),
		Path:        "/permits?tower=1",
		ReportsLoad: true,
		Executions:  s.Executions,
		Inject: func(t *testing.T, f plainservicetest.Fault) func() {
			s.SetFaults(faults[f])
			return func() { s.SetFaults(Faults{}) }
		},
	})
}
