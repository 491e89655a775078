// Package tokens provides the unit in which budgets are prepaid and requests
// are billed.
//
// A token is the model's own unit of text. All arithmetic in the router is in
// whole tokens, so that a ledger page and a bill can be compared exactly.
//
// # Usage
//
//	var spent tokens.Count = 120
//	left := prepaid - spent
package tokens

// Count is a number of tokens. A negative count occurs only as a difference.
type Count int64
