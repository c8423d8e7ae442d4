// Package balance takes the decisions of one sidecar's load balancer: which server gets a request, when it is tried again,
// when it is refused. It is pure: events and the time go in, actions come out; it opens nothing, waits for nothing, starts
// no goroutine and imports the standard library only. Whoever drives it owes what api.go says.
//
// # The mechanism
//
// AWRR, health-weighted round robin: each server has a multiplier m, which falls with its consecutive errors, never below
// a floor, and recovers with time. Smooth weighted round robin over size × m picks the server. A failed request that may
// be repeated goes to the untried server of highest m.
//
// # The life of a request
//
//	Request ─ shed? ──────────────────────────────── Refuse                    shed.go
//	   │
//	   ├─ probes, where only they tell the load                                probe.go
//	   ▼
//	 step ─ no server may have it ────────────────── Refuse or Fail, at once   balance.go
//	   │  ─ none has room yet: SetTimer, step again
//	   ▼
//	 Send ─ pick: the rotation, or for a repeat the healthiest                 pick.go
//	   │    a key goes home, ahead of its turn                                 keys.go
//	   │    cold servers within their budget                                   cold.go
//	   ▼
//	Outcome ─ what it says of server and load                                  health.go
//	   │  ─ served: the shell has answered
//	   │  ─ may be repeated: step again
//	   └──── may not ─────────────────────────────── Refuse or Fail, at once   balance.go
//
// At its deadline a request that is still open is answered, and what is out for it is cancelled; HangUp does the same
// without an answer. News of the servers, and when to ask for it, is list.go.
//
// # The four rules, and where each is kept
//
//   - No request is lost. step answers at the deadline at the latest, and earlier once nothing more can come of waiting
//     (hopeless, sendable). TestRandomEventsKeepTheRules, TestNobodyLeftToSendTo; conversations 09, 16 and 17.
//   - No effect happens twice. hopeless and allowed (before a send) and refusable (before an answer) are all there is to
//     it: what may have run goes out again only if it is safe, or keyed, to the key's group and within its window; a
//     refusal is given only for what is safe, known to all servers by its key while they remember it, or
//     certain not to have run.
//     TestWhatMayFollowAnAttempt, TestNothingIsRefusedThatMayHaveRun; conversations 03 to 08 and 25.
//   - Drains are kept. allowed looks at the state that the list gave last, so nothing is sent from the moment of the news;
//     the shell keeps what was decided before the news from leaving after the grace. TestDrainingGetsNothingNew;
//     conversations 09 and 10.
//   - A cold server is not pushed over. coldBudget is a hard limit of sends, re-routes included, that counts on every other
//     sidecar's doing the same; see below. TestTheRampHoldsForTheFleet, TestColdBudgetHoldsForAllSidecars,
//     TestReroutesKeepTheColdBudget; conversations 11, 12 and 24.
//
// # What cold servers get from all sidecars together
//
// A cold server may be sent N calls within Config.FallTime, N being FallMultiple times what it can do then; it falls at
// some more, and 2 x root of N + 2 more are put down to chance. Why all sidecars together stay below that, without a word
// between them: each saves up tokens at a rate f, which is its own rate of answers, times the cold server's part of the
// weights, which holds its warmth, times FallMultiple / 2. All their answers together are no more than what warm servers
// can do, so the sum of all f is at most half of N in a FallTime, however uneven their traffic is. A send takes a whole
// token. Each sidecar begins with a random part of one, so that within any time a number of sends comes about whose mean
// is the sum of f times that time, also where each has far less than one; its variance is less than its mean, for each
// sidecar's own share of a token is the only chance in it. A sidecar may save up a quarter of a FallTime, or one token
// where that is more; who has so little that one is more sends less than one in four FallTimes. So the sends stay within
// N / 2 x 5/4 + some roots of that: 2 x root of N + 2 is over two and a half standard deviations away from them at any N,
// and what is left of N comes on top. A restarted sidecar begins with a part of a token anew and with no answers, so that
// it sends nothing before it has learned a rate. What is sent before a sidecar is told of a start is not in this.
// The largest use over 60 fleets of 1 to 300 sidecars is 0.92 of the bound, where news come up to 2 s late, and 0.76 else.
//
// The conversations are text files in testdata/conversations, meant to be read from the first to the last: events in,
// actions out, with the reasons beside them.
package balance
