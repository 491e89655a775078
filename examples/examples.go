// Package examples holds complete answers to the questionnaire for two
// deployments.
//
// # Usage
//
//	a, err := answers.Decode(examples.Jegvirag)
package examples

import _ "embed"

// Jegvirag is the answers of a software house in one region.
//
//go:embed jegvirag.json
var Jegvirag []byte

// Urad is the answers of a public authority in one region.
//
//go:embed urad.json
var Urad []byte
