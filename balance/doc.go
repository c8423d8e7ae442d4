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
//     sidecar's doing the same. TestColdBudgetHoldsForAllSidecars, TestReroutesKeepTheColdBudget; conversations 11,
//     12 and 24.
//
// The conversations are text files in testdata/conversations, meant to be read from the first to the last: events in,
// actions out, with the reasons beside them.
package balance
