// Package router holds what the router fleet alone is made of: cmd/petrelhook-router links it, and petrelhookctl where
// it plays placement in virtual time.
//
// It imports nothing of the sidecar and nothing of coordination. docs/design/system.md says how the parts work
// together.
package router
