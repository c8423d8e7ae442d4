// Package placement chooses the server for a request. It is pure: time and random draws are handed in. A Pool is for
// one goroutine at a time.
//
// It does not send requests, and it does not decide whether one is retried.
//
// A request whose prompt shares a long prefix with others goes to a server that read this prefix recently, as far as
// routers have reported it to one another, unless that server has so much prefill pending that another one would read
// the complete prompt sooner. All other requests go to the servers of the router's zone. The work pending at a server
// is estimated from the requests that all routers have in flight there; the load that a server reports itself is one
// more source. Requests with long answers are packed on as few servers as have room for them, and pending prefill costs
// more where many of them are, so that the tokens of long answers do not wait for prompts to be read.
//
// Within the set the pick is the design's: smooth weighted round robin over 100 × multiplier, see package rotation. A
// re-route goes to the healthiest server that was not tried yet.
//
// Invariants: decisions do not change when servers and zones are renamed, except by the hash of a server's name
// (names_test.go); with all servers ejected or in cooldown a request still gets one.
package placement
