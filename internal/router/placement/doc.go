// Package placement chooses the server for a request. It is pure: the caller passes the time and the source of random
// numbers. A Pool must not be used by two goroutines at the same time.
//
// The package does not send requests, and does not decide whether a request is retried.
//
// A request whose prompt shares a long prefix with other requests goes to a server that processed this prefix recently,
// according to the reports that routers exchange. The exception is a server with so much pending prefill that another
// server would finish the complete prompt sooner. All other requests go to the servers of the router's zone. The work
// pending at a server is estimated from the requests that all routers have in flight there, and from the load that the
// server itself reports. Requests with long answers are packed onto as few servers as have room for them, and pending
// prefill costs more on servers with many long answers, so that the tokens of long answers do not wait for the prefill
// of prompts.
//
// Within the set of servers that qualify, smooth weighted round robin with the weight 100 × multiplier picks the server,
// see package rotation. A re-route goes to the healthiest server that was not tried yet.
//
// Invariants: renaming servers and zones changes no decision, except through the hash of a server's name
// (names_test.go); a request gets a server even if all of them are ejected or in cooldown.
package placement
