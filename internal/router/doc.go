// Package router holds what the router fleet alone is made of: cmd/petrelhook-router links it, and petrelhookctl where it
// plays placement in virtual time. It imports nothing of the sidecar and nothing of coordination.
//
// A router is one process of the fleet; a core member is a router that has a replica of the configuration. Package node
// puts a router together and is the only one here that knows all the others. A reader may begin there, and go on
//
//   - for what replicates the operators' configuration, with operatorapi (the state machine), replication (views,
//     elections, commit) and storage (the disk);
//   - for how every router gets configuration and servers, with dissemination (the messages), homeselection (from whom),
//     registry (servers) and membership (routers);
//   - for a client's request, with gateway, which calls routetable (route and tenant), quota (limits), placement (which
//     server) and backend (the exchange with it);
//   - for what routers find out together, with outlier (failing servers), placement.LoadBoard (loads) and quotapool
//     (limits without a primary).
//
// Most of these packages are pure: the caller passes the time, and sends the messages. docs/design/system.md says how the
// parts work together, docs/design/layers.md lists every package.
package router
