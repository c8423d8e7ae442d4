// Package router contains the packages that belong to the router fleet alone. They are linked by cmd/petrelhook-router, and
// package placement also by petrelhookctl, which simulates it in virtual time. They import nothing from the sidecar and nothing
// from coordination.
//
// A router is one process of the fleet; a core member is a router that has a replica of the configuration. Package node
// assembles a router, and is the only package here that depends on all the others. It is the best starting point for a reader,
// followed by
//
//   - for the replication of the operators' configuration: operatorapi (the state machine), replication (views, elections,
//     commit) and storage (persistence);
//   - for the distribution of configuration and servers to every router: dissemination (the messages), homeselection (the
//     choice of the core member that sends them), registry (servers) and membership (routers);
//   - for the path of a client's request: gateway, which calls routetable (route and tenant), quota (limits), placement (choice
//     of the server) and backend (the exchange with the server);
//   - for what the routers aggregate: outlier (failing servers), placement.LoadAggregator (loads) and quotapool (limits without a
//     primary).
//
// Most of these packages do no I/O and read no clock: the caller passes the time in, and sends the messages.
// docs/design/system.md describes how the parts work together, and docs/design/layers.md lists every package.
package router
