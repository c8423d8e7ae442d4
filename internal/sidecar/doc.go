// Package sidecar holds what the sidecar in service is made of, beside the decisions in balance: cmd/petrelhook links it.
//
// It imports nothing of the router fleet and nothing of coordination; coordination reads a few of its types (counts, messages).
package sidecar
