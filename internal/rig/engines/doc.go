// Package engines simulates routing policies with model servers in virtual time, many seeds side by side.
//
// A model server here is a batch of slots. A step of it takes a fixed time, something for each slot in use and for the context of the running
// requests, and a chunk of prefill, with a rate and a price of attention that grows with what was read before. Each step generates
// one token for every request that has been read, so the prefill of prompts delays the tokens of everything beside them. Prompts
// stay in a prefix cache from which the least recently used parts are evicted. A full batch queues, a full queue rejects.
//
// The decisions of routers are the real ones: each has a placement.Pool of its own and receives the others' reports as late as the
// real ones do, by way of distributors (placement.LoadAggregator, placement.PrefixUses). Arrivals are drawn from a seed, the same for
// all policies. A simulation is a function of the spec, the policy and the seed.
//
// What it leaves out: connections, tenants' limits, the routers' processor time, the health of servers beyond what attempts show. Its
// results are compared with the users' bench in docs/design/deciding.md.
package engines
