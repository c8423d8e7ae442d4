// Package balance takes the decisions of one sidecar's load balancer: which server gets a request, when it is retried, when it is
// rejected. It is pure: events and the time go in, actions come out; it reads no clock, opens nothing, waits for nothing and starts no
// goroutine. A Balancer is used by one goroutine at a time; api.go says what its caller must do. Its callers are the loop of package
// core, in a sidecar, and the adapter, which plays many sidecars in virtual time.
//
// # The mechanism
//
// AWRR, health-weighted round robin: each server has a multiplier m, which falls with its consecutive errors, never below
// a floor, and recovers with time. Smooth weighted round robin over capacity × m picks the server. A failed request that may
// run again is retried at the server of highest m that it was not sent to.
//
// # The life of a request
//
//	Request ─ shed? ──────────────────────────────── Reject                    shed.go
//	   │
//	   ├─ probes, where only they report the load                              probe.go
//	   ▼
//	advance ─ no server may have it ──────────────── Reject or Fail, at once   lifecycle.go
//	   │  ─ none has capacity yet: SetTimer, advance again
//	   ▼
//	 Send ─ pick: the rotation, or for a retry the healthiest                  pick.go
//	   │    a key goes to its preferred server, ahead of its turn              keys.go
//	   │    servers in their slow start within their budget                    slow_start.go
//	   ▼
//	Outcome ─ what it says of server and load                                  outcome.go, health.go, capacity.go
//	   │  ─ served: the caller has answered
//	   │  ─ may run again: advance again
//	   └──── may not ─────────────────────────────── Reject or Fail, at once   lifecycle.go
//
// At its deadline a request that is still open is answered, and what is in flight for it is cancelled; ClientGone does the same
// without an answer. Updates of the server list, and when to subscribe to it, are in list.go. balance.go has the Balancer with its events,
// whose tables are in servers.go, requests.go and traffic.go; snapshot.go hands what was learned to the next process. The settings are in
// config.go, the constants in parameters.go.
//
// # The four rules, and where each is kept
//
//   - No request is lost. advance answers at the deadline at the latest, and earlier once it is of no use to wait (noRetryLeft,
//     hasEligibleServer). TestRandomEventsKeepTheRules, TestAllEligibleServersWereTried; conversations 09, 16 and 17.
//   - No effect happens twice. noRetryLeft and eligible (before a send) and rejectable (before an answer) guard it, and nothing
//     else does: what may have run is sent again only if it is safe, or keyed, to the key's group and within its window; a
//     rejection is given only for what is safe, known to all servers by its key while they remember it, or
//     certain not to have run.
//     TestWhatMayFollowAnAttempt, TestNothingIsRejectedThatMayHaveRun; conversations 03 to 08 and 25.
//   - Drains are kept. eligible looks at the state in the last list, so nothing is sent from the moment of the update;
//     the caller keeps what was decided before the update from leaving after the grace. TestDrainingGetsNothingNew;
//     conversations 09 and 10.
//   - A server in its slow start is not overloaded. slowStartBudget is a hard limit of sends, retries included, which relies on
//     every other sidecar's doing the same; see below. TestTheSlowStartBoundHoldsForTheFleet, TestSlowStartBudgetHoldsForAllSidecars,
//     TestRetriesKeepTheSlowStartBudget; conversations 11, 12 and 24.
//
// # What servers in their slow start get from all sidecars together
//
// Such a server may be sent N requests within Config.OverloadTime, N being OverloadMultiple times what it can do then; it breaks
// down at some more, and 2 x root of N + 2 more are attributed to chance. Why all sidecars together stay below that, without any
// message between them: each saves up tokens at a rate f, which is its own rate of answers, times the server's fraction of the
// weights, which includes its warm-up, times OverloadMultiple / 2. All their answers together are no more than what warm servers
// can do, so the sum of all f is at most half of N in an OverloadTime, however uneven their traffic is. A send takes a whole
// token. Each sidecar begins with a random fraction of one, so that within any time a number of sends results whose mean
// is the sum of f times that time, also where each has far less than one; its variance is less than its mean, for each
// sidecar's fraction of a token is its only random part. A sidecar may save up a quarter of an OverloadTime, or one token
// where that is more; a sidecar for which one is more sends less than one in four OverloadTimes. So the sends stay within
// N / 2 x 5/4 + some roots of that: 2 x root of N + 2 is over two and a half standard deviations away from them at any N,
// and what is left of N comes on top. A restarted sidecar begins with a fraction of a token anew and with no answers, so that
// it sends nothing before it has learned a rate. What is sent before a sidecar knows of a start is not included.
// The largest use over 60 fleets of 1 to 300 sidecars is 0.92 of the bound, where updates come up to 2 s late, and 0.76 otherwise.
//
// The conversations are text files in testdata/conversations, meant to be read from the first to the last: events in,
// actions out, with the reasons beside them. They have words of their own for events (ask: Request; m: the multiplier; cold: in
// its slow start; rests: in a cooldown).
package balance
