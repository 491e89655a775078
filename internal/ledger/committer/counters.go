package committer

import (
	"encoding/json"
	"expvar"
)

// Counters holds the counters of a Committer. It implements expvar.Var.
type Counters struct {
	Ops          expvar.Int // ops completed
	Forwarded    expvar.Int // ops completed by the owner of their page, included in Ops
	Reads        expvar.Int // reads of pages and segments started
	Writes       expvar.Int // writes of pages and segments started
	Conflicts    expvar.Int // writes that failed because the page had changed
	Unknown      expvar.Int // page writes with an unknown outcome
	Unavailable  expvar.Int // attempts that failed for another reason, such as an outage
	Committed    expvar.Int // ops in successful writes
	Sealed       expvar.Int // segments written
	LargestBatch expvar.Int // ops in the largest successful write
}

var _ expvar.Var = (*Counters)(nil)

// String returns the counters as JSON.
func (c *Counters) String() string {
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
		c.Ops.Value(), c.Forwarded.Value(), c.Reads.Value(), c.Writes.Value(), c.Conflicts.Value(),
		c.Unknown.Value(), c.Unavailable.Value(), c.Committed.Value(), c.Sealed.Value(), c.LargestBatch.Value(),
	})
	if err != nil {
		return "{}"
	}
	return string(data)
}

// addBatch records a successful write of the given number of ops.
func (c *Counters) addBatch(ops int) {
	c.Committed.Add(int64(ops))
	if int64(ops) > c.LargestBatch.Value() {
		c.LargestBatch.Set(int64(ops))
	}
}
