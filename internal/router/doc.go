// Package router holds what the router fleet alone is made of: cmd/petrelrouter links it, and petrelctl where it plays placement in virtual time.
//
// It imports nothing of the sidecar and nothing of coordination. docs/design/system.md says how the parts work together.
package router
