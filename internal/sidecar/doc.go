// Package sidecar contains the packages of the sidecar program, cmd/petrelhook, except for the decisions, which package balance
// makes.
//
// They import nothing from the router fleet or from coordination. Coordination uses a few of their types (counts, messages).
package sidecar
