// Package engines plays routing policies before model servers in virtual time, many seeds side by side.
//
// A model server here is a batch of places. A step of it takes a fixed time, something for each place and for the memory of what
// runs, and a chunk of unread prompt, at a reading speed and a price of attention that grows with what was read before. Each step gives
// every request that has been read one token, so prompts that are read hold up the tokens of everything beside them. Shared
// parts are kept, the least recently used give way. A full batch queues, a full queue refuses.
//
// Routers are the real decisions: each holds a placement.Pool of its own and hears of the others' requests as late as the
// real ones do, by way of their homes (placement.Board, placement.Uses). Arrivals are drawn from a seed, the same for all policies.
//
// What it leaves out: connections, tenants' limits, the routers' processor time, the health of servers beyond what sends tell. What it
// says is compared with the users' bench in docs/design/deciding.md.
package engines
