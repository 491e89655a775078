package store

// Era counts how often a store has been restored from an older copy. What was written
// after the copy is gone, and revisions and lease numbers are given out again. A store that does
// not report eras has era 0.
type Era int64

// MaxEra is the largest era that a Revision can hold.
const MaxEra Era = 1<<(63-counterBits) - 1
