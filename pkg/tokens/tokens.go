// Package tokens provides the unit in which budgets are prepaid and requests
// are billed.
//
// A token is the unit of text that a model processes. All arithmetic in the router
// uses whole tokens, so that ledger pages and bills can be compared exactly.
//
// # Usage
//
//	var spent tokens.Count = 120
//	left := prepaid - spent
package tokens

// Count is a number of tokens. A negative count occurs only as a difference.
type Count int64
