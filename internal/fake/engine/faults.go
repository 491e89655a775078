package engine

import "time"

// Faults are the faults in force. The zero value is a sound engine. Faults of
// a stream hit the connection on which the run was started, and those on which
// it is resumed only if Persistent is set.
type Faults struct {
	CrashOn          string        // crash when a run begins whose prompt contains it
	Silent           bool          // send nothing on new connections
	SilentAfter      int           // go silent for good after this token
	SilentAtStart    bool          // accept the run, then send nothing, not even headers
	CrossedHeader    bool          // answer with the headers of another attempt
	CrossedAt        int           // send this token with the text and id of another attempt
	RepeatAt         int           // send this token twice
	SkipAt           int           // leave this token out
	LateAt           int           // send this token after the next one
	CutAt            int           // end the response after this token
	ResetAt          int           // reset the connection after this token
	WithoutDone      bool          // end the response without [DONE]
	WrongUsage       bool          // count a token too few in the usage
	Persistent       bool          // hit resumed connections too
	NotRun           bool          // refuse runs with the promise that they were not run
	Unavailable      bool          // refuse runs without that promise
	Slow             time.Duration // additional time between two tokens
	LoadFrozen       bool          // report the load as it was when the fault began
	IgnoresMaxTokens bool          // generate past the token limit
	IgnoresCancel    bool          // go on with cancelled runs
}
