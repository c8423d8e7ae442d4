// Package balance makes the decisions of one sidecar's load balancer: which server gets a request, when the request is retried,
// and when it is rejected. It is pure: events and the time go in, actions come out. It reads no clock, does no input or output,
// never blocks and starts no goroutine. A Balancer is used by one goroutine at a time; api.go lists what its caller must do. Its
// callers are the event loop of package core, in a sidecar, and cmd/adapter, which runs many sidecars in the virtual time of a
// simulator.
//
// # The mechanism
//
// AWRR, health-weighted round robin: each server has a multiplier m, which falls with its consecutive errors, never below
// a floor, and recovers with time. Smooth weighted round robin over capacity × m picks the server. A failed request that may
// run again is retried at the server of highest m among those that have not had it.
//
// # The life of a request
//
//	Request ─ shed? ──────────────────────────────── Reject                    shed.go
//	   │
//	   ├─ probes, if load reports arrive in no other way                       probe.go
//	   ▼
//	advance ─ no server may have it ──────────────── Reject or Fail, at once   lifecycle.go
//	   │  ─ none has capacity yet: SetTimer, advance again
//	   ▼
//	 Send ─ pick: the rotation, or for a retry the healthiest                  pick.go
//	   │    a key goes to its preferred server, ahead of its turn              keys.go
//	   │    servers in their slow start within their budget                    slow_start.go
//	   ▼
//	Outcome ─ updates the state of server and load                             outcome.go, health.go, capacity.go
//	   │  ─ served: the caller has answered
//	   │  ─ may run again: advance again
//	   └──── may not ─────────────────────────────── Reject or Fail, at once   lifecycle.go
//
// A request that is still open at its deadline is answered, and its attempts in flight are cancelled; ClientGone does the same
// without an answer. list.go handles updates of the server list and subscribes to it. balance.go has the Balancer and dispatches
// its events; its tables are in servers.go, requests.go and traffic.go. snapshot.go hands the learned state to the next process.
// The settings are in config.go, the constants in parameters.go.
//
// # The four rules and how they are enforced
//
//   - No request is lost. advance answers at the deadline at the latest, and earlier if waiting is of no use (noRetryLeft,
//     hasEligibleServer). TestRandomEventsKeepTheRules, TestAllEligibleServersWereTried; conversations 09, 16 and 17.
//   - No effect happens twice. Only noRetryLeft and eligible (before a send) and rejectable (before an answer) enforce this. A
//     request that may have run is sent again only if it is safe, or if it is keyed, and then within the key's group and window.
//     It is rejected only if it is safe, if all servers know its key and still remember it, or if it is certain not to have run.
//     TestWhatMayFollowAnAttempt, TestNothingIsRejectedThatMayHaveRun; conversations 03 to 08 and 25.
//   - Draining servers get no new requests. eligible checks the state in the last list, so nothing is sent from the moment of the
//     update on. The caller ensures that a send that was decided before the update does not leave after the grace.
//     TestDrainingGetsNothingNew; conversations 09 and 10.
//   - A server in its slow start is not overloaded. slowStartBudget is a hard limit of sends, retries included. It relies on all
//     other sidecars to apply the same limit; see below. TestTheSlowStartBoundHoldsForTheFleet,
//     TestSlowStartBudgetHoldsForAllSidecars, TestRetriesKeepTheSlowStartBudget; conversations 11, 12 and 24.
//
// # The slow-start bound over all sidecars
//
// A server in its slow start may be sent N requests within Config.OverloadTime, where N is OverloadMultiple times the number that
// it can handle in that time. It breaks down somewhat above N; up to 2 x sqrt(N) + 2 more are attributed to chance. All sidecars
// together stay below N + 2 x sqrt(N) + 2 without any message between them:
//
//   - Each sidecar saves up tokens for the server at a rate f: its own rate of answers, times the server's fraction of the
//     weights, which includes the warm-up, times OverloadMultiple / 2. A send takes a whole token.
//   - The answers of all sidecars are at most what warm servers can handle. The sum of all f is therefore at most half of N per
//     OverloadTime, however uneven the traffic is.
//   - Each sidecar begins with a random fraction of a token. Within any period the mean number of sends is therefore the sum of
//     all f times the period, even if each sidecar has far less than one token. The variance is less than the mean, as that
//     initial fraction is the only random part of each sidecar.
//   - A sidecar saves up at most the tokens of a quarter of an OverloadTime, or one token if that is more. A sidecar for which
//     one token is more sends less than one request in four OverloadTimes.
//
// The sends thus stay within N / 2 x 5/4 plus a few square roots of that. 2 x sqrt(N) + 2 is over two and a half standard
// deviations away from them at any N, and the rest of N is a further margin. A restarted sidecar begins with a new fraction of a
// token and without answers, so it sends nothing before it has learned a rate. The bound does not cover requests that a sidecar
// sends before it knows of a start. The largest use over 60 fleets of 1 to 300 sidecars is 0.92 of the bound if updates arrive up
// to 2 s late, and 0.76 otherwise.
//
// # Conversations
//
// The conversations are text files in testdata/conversations, to be read from the first to the last. They show events, the
// actions that follow and the reasons. They have their own words for events and states (ask: Request; m: the multiplier; cold: in
// its slow start; rests: in a cooldown).
package balance
