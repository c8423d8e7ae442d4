// Package coordination holds leases, budgets, rolling changes and the distribution of configurations: what cmd/petrelhook-coordinator, cmd/petrelhook-agent and
// the package lease are made of.
//
// It imports nothing of the router fleet.
package coordination
