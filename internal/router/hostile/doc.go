// Package hostile tests the real product router against callers and senders outside the operator's
// control, which try to exhaust the memory or the file descriptors of its VM.
//
// Each test starts one process of cmd/lagoonfork with a key-value service and upstreams of its
// own, on loopback addresses, and holds the callers' connections open. It checks that the process
// is alive, that its peak of resident memory and its open descriptors stay within those of a small
// VM, and that an ordinary request is answered while the callers are still connected. It checks no
// timings and no proportion of served requests. The tests run one at a time, because the callers
// of one would take processor time from the other.
//
// # Usage
//
//	go test ./internal/router/hostile
package hostile
