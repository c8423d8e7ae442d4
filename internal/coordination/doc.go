// Package coordination is the parent of the packages behind cmd/petrelhook-coordinator, cmd/petrelhook-agent and package lease. They
// implement leases, limits of the whole fleet (package share), rolling changes of releases, and the distribution of configuration
// versions.
//
// None of these packages imports a package of the router fleet (internal/router).
package coordination
