package committer

import (
	"encoding/json"
	"expvar"
)

// Counters counts the work of a Committer. It is an expvar.Var.
type Counters struct {
	Ops          expvar.Int // ops answered
	Forwarded    expvar.Int // of these, by the owner of the page
	Reads        expvar.Int // page reads begun
	Writes       expvar.Int // page writes begun
	Conflicts    expvar.Int // writes that another router's write preceded
	Unknown      expvar.Int // writes without an answer
	Unavailable  expvar.Int // calls that the service did not run
	Committed    expvar.Int // ops in successful writes
	Sealed       expvar.Int // segments written
	LargestBatch expvar.Int // ops in the largest successful write
}

var _ expvar.Var = (*Counters)(nil)

// String returns the counters as JSON.
func (n *Counters) String() string {
	data, err := json.Marshal(struct {
		Ops          int64 `json:"ops"`
		Forwarded    int64 `json:"forwarded"`
		Reads        int64 `json:"reads"`
		Writes       int64 `json:"writes"`
		Conflicts    int64 `json:"conflicts"`
		Unknown      int64 `json:"unknown"`
		Unavailable  int64 `json:"unavailable"`
		Committed    int64 `json:"committed"`
		Sealed       int64 `json:"sealed"`
		LargestBatch int64 `json:"largestBatch"`
	}{
		n.Ops.Value(), n.Forwarded.Value(), n.Reads.Value(), n.Writes.Value(), n.Conflicts.Value(),
		n.Unknown.Value(), n.Unavailable.Value(), n.Committed.Value(), n.Sealed.Value(), n.LargestBatch.Value(),
	})
	if err != nil {
		return "{}"
	}
	return string(data)
}

// batch counts the ops of a successful write.
func (n *Counters) batch(ops int) {
	n.Committed.Add(int64(ops))
	if int64(ops) > n.LargestBatch.Value() {
		n.LargestBatch.Set(int64(ops))
	}
}
