// Package ident provides the named types of the identifiers that the router
// fleet uses, so that one kind of identifier cannot stand in for another.
//
// An identifier is chosen by an operator in the answers to the questionnaire
// (customers, applications, budgets, services, upstreams, models), given by
// the platform (VMs), or made by a router (incarnations, attempts).
//
// # Usage
//
//	if !ident.Valid(string(answer.ID)) {
//		return fmt.Errorf("customers[3].id: %q is not an identifier", answer.ID)
//	}
package ident

import "strings"

// maxLength is the greatest length of an identifier in bytes.
const maxLength = 128

type (
	// Customer identifies a member organisation of the consortium.
	Customer string
	// Application identifies one application of a customer.
	Application string
	// Budget identifies a prepaid budget.
	Budget string
	// Service identifies a set of upstreams that answer the same calls.
	Service string
	// Upstream identifies one model engine or one plain service process.
	Upstream string
	// Model identifies a model as callers name it.
	Model string
	// VM identifies an entry VM. It outlives a restart of the router on it.
	VM string
	// Incarnation identifies one run of a router process on a VM.
	Incarnation string
	// FailureDomain identifies a set of VMs that fail together.
	FailureDomain string
	// Region identifies a set of failure domains close to each other.
	Region string
	// Request identifies a request within a budget: the idempotency key of
	// the caller, or an identifier made by the router.
	Request string
	// Attempt identifies one dispatch of a request to one upstream.
	Attempt string
	// TopUp identifies one purchase of tokens for a budget.
	TopUp string
)

// Valid reports whether s may be used as an identifier in the answers: 1 to
// 128 letters, digits, dots, underscores and hyphens.
func Valid(s string) bool {
	if s == "" || len(s) > maxLength {
		return false
	}
	return strings.IndexFunc(s, invalidRune) < 0
}

func invalidRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	case r == '.', r == '_', r == '-':
		return false
	}
	return true
}
