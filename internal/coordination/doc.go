// Package coordination holds leases, budgets, rolling changes and the distribution of configurations: what cmd/petrelfleet, cmd/petrelagent and
// the package lease are made of.
//
// It imports nothing of the router fleet.
package coordination
