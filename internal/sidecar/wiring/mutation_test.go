//go:build !race

package wiring

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each mutant removes, from a copy of the source, a guard against a rare interleaving. The test that forces the interleaving must fail then.
func TestGuardsOfRareMoments(t *testing.T) {
	const (
		limits    = "internal/sidecar/wiring/resource_limits.go"
		client    = "internal/sidecar/connlimit/client.go"
		limiter   = "internal/sidecar/connlimit/limiter.go"
		request   = "internal/sidecar/core/request.go"
		attempt   = "internal/sidecar/core/attempt.go"
		front     = "internal/sidecar/front/platform/request.go"
		discovery = "internal/sidecar/member/discovery/discovery.go"
		cursor    = "internal/sidecar/member/cursor.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"room for another":              {File: client, Text: " && !sock.Unsent(c.Conn) }", Replacement: " }", Package: "./internal/sidecar/connlimit", Test: "TestAnAnswerOnItsWayIsNotResetAway"},
		"an answer on its way":          {File: limiter, Text: "			_ = c.closeWhenDelivered(now) // nothing more is written to it\n", Replacement: "			c.Conn.Close()\n			l.admission.Closed(record, now)\n", Package: "./internal/sidecar/connlimit", Test: "TestAnAnswerOnItsWayIsNotResetAway"},
		"a last answer":                 {File: client, Text: "!canHalfClose || !sock.Unsent(c.Conn)", Replacement: "!canHalfClose || true", Package: "./internal/sidecar/connlimit", Test: "TestTheLastAnswerArrivesComplete"},
		"a request read ahead":          {File: client, Text: "c.readAhead.empty() && ", Replacement: "", Package: "./internal/sidecar/connlimit", Test: "TestARequestReadAheadIsNotEvicted"},
		"an answer without length":      {File: limiter, Text: "c.responseOpen.Swap(open) != open", Replacement: "c.responseOpen.Swap(false)", Package: "./internal/sidecar/front/platform", Test: "TestATruncatedAnswerIsNotComplete"},
		"an answer of a killed process": {File: limiter, Text: "_ = sock.ResetOnClose(c.Conn, open)", Replacement: "_ = sock.ResetOnClose(c.Conn, false)", Package: "./internal/sidecar/front/platform", Test: "TestAnAnswerOfAKilledProcessIsNotComplete"},
		"an end of a killed server":     {File: "internal/sidecar/upstream/http1/response_reader.go", Text: "resp.StatusCode == http.StatusOK && r.gone()", Replacement: "false", Package: "./internal/sidecar/upstream/http1", Test: "TestAResponseOfAKilledServerIsNotServed"},
		"opened in a hand-over":         {File: limits, Text: "	l.set(half) //", Replacement: "	_ = half //", Package: "./internal/sidecar/wiring", Test: "TestConnectionsOpenedDuringAHandOverAreInAShare"},
		"a process beside two":          {File: limits, Text: "l.others > 0", Replacement: "false", Package: "./internal/sidecar/wiring", Test: "TestConnectionsOpenedDuringAHandOverAreInAShare"},
		"a share before the first":      {File: "internal/sidecar/wiring/run.go", Text: "			s.limits.joinPredecessor(*succession.Share)\n", Replacement: "			defer s.limits.joinPredecessor(*succession.Share)\n", Package: "./internal/sidecar/wiring", Test: "TestASuccessorIsLimitedBeforeItAccepts"},
		"bodies that have not begun":    {File: "internal/sidecar/upstream/http1/exchange.go", Text: "p.callsBeforeBody < p.MaxConnections/2", Replacement: "true", Package: "./internal/sidecar/upstream/http1", Test: "TestBodiesThatHaveNotBegunLeaveConnections"},
		"late in the end":               {File: front, Text: "request.Wait = window.ClampWait(request.Arrived, request.Wait)", Replacement: "", Package: "./internal/sidecar/wiring", Test: "TestARequestReadLateInTheEndIsAnswered"},
		"what has not begun":            {File: request, Text: "if !a.ended && a.call.Claim() {", Replacement: "if false {", Package: "./internal/sidecar/core", Test: "TestNothingBeginsOnceTheClientHasGone"},
		"a queue before a hang-up":      {File: request, Text: "ctx.Err() != nil || in.ClientGone", Replacement: "in.ClientGone", Package: "./internal/sidecar/core", Test: "TestADisconnectBehindALongQueue"},
		"an end seen by the send":       {File: attempt, Text: "errors.Is(out.Err, upstream.ErrClientGone) && !r.closed", Replacement: "false", Package: "./internal/sidecar/core", Test: "TestAnEndThatIsSeenFirstByTheSender"},
		"silence":                       {File: discovery, Text: "silenceTimeout = 2500 *", Replacement: "silenceTimeout = 3500 *", Package: "./internal/sidecar/wiring", Test: "TestChangesArriveInTime"},
		"a part is no life":             {File: discovery, Text: "len(bytes.TrimSpace(p[:n])) == 0", Replacement: "len(bytes.TrimSpace(p[:n])) >= 0", Package: "./internal/sidecar/wiring", Test: "TestChangesArriveInTime"},
		"a pause without end":           {File: "balance/parameters.go", Text: "maxPollBackoff    = 1500", Replacement: "maxPollBackoff    = 8000", Package: "./internal/sidecar/wiring", Test: "TestChangesArriveInTime"},
		"a call that hangs":             {File: discovery, Text: "callTimeout = 3100 *", Replacement: "callTimeout = 4000 *", Package: "./internal/sidecar/wiring", Test: "TestChangesArriveInTime"},
		"an older list":                 {File: cursor, Text: "if list.Generation < c.generation && !c.acceptAny {", Replacement: "if false {", Package: "./internal/sidecar/member", Test: "TestCursor"},
		"another's list":                {File: cursor, Text: "return list.Complete && len(known) > 0", Replacement: "return false && len(known) > 0", Package: "./internal/sidecar/member", Test: "TestCursor"},
		"the cold budget":               {File: "balance/pick.go", Text: "b.warmingUp(s) && !b.slowStartBudget(s)", Replacement: "false", Package: "./balance", Test: "TestTheSlowStartBoundHoldsForTheFleet"},
		"a pause from the call on":      {File: "balance/list.go", Text: "backoff*jitter-(b.now-b.polling.lastAt)", Replacement: "backoff*jitter", Package: "./internal/sidecar/wiring", Test: "TestChangesArriveInTime"},
	})
}
