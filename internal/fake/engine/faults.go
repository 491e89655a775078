package engine

import "time"

// Faults selects the faults to inject. The zero value injects none. Faults that
// affect a stream apply to the connection that started the run, and to
// connections that resume it only if Persistent is set. Token numbers count
// from 1; 0 disables the fault.
type Faults struct {
	CrashOn            string        // crash when a run starts whose prompt contains this text
	Silent             bool          // silence new connections
	SilentAfter        int           // silence the connection after this token
	SilentAtStart      bool          // accept the run, then send nothing, not even headers
	WrongAttemptHeader bool          // respond with the attempt header of another attempt
	WrongAttemptAt     int           // send this token with the text and id of another attempt
	RepeatAt           int           // send this token twice
	SkipAt             int           // omit this token
	LateAt             int           // send the next token before this one, and again in its turn
	CutAt              int           // end the response after this token
	ResetAt            int           // reset the connection after this token
	WithoutDone        bool          // omit [DONE] at the end of the response
	WrongUsage         bool          // report one token too few in the usage
	Persistent         bool          // affect resumed connections too
	NotRun             bool          // refuse runs with X-Not-Run: the request was not run
	Unavailable        bool          // refuse runs without X-Not-Run
	Slow               time.Duration // additional time between two tokens
	LoadFrozen         bool          // keep reporting the load as it was when the fault was set
	IgnoresMaxTokens   bool          // generate past the token limit
	IgnoresCancel      bool          // continue cancelled runs
}
