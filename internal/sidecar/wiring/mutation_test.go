//go:build !race

package wiring

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard of a rare moment is removed from a copy of the source: the test that forces that moment fails then.
func TestGuardsOfRareMoments(t *testing.T) {
	const (
		client    = "internal/sidecar/connlimit/client.go"
		limiter   = "internal/sidecar/connlimit/limiter.go"
		request   = "internal/sidecar/core/request.go"
		attempt   = "internal/sidecar/core/attempt.go"
		front     = "internal/sidecar/front/platform/request.go"
		discovery = "internal/sidecar/member/discovery/discovery.go"
		cursor    = "internal/sidecar/member/cursor.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"room for another":         {client, " && !sock.Unsent(c.Conn) }", " }", "./internal/sidecar/connlimit", "TestAnAnswerOnItsWayIsNotResetAway"},
		"an answer on its way":     {limiter, "			_ = c.closeWhenDelivered(now) // nothing more is written to it\n", "			c.Conn.Close()\n			l.admission.Closed(record, now)\n", "./internal/sidecar/connlimit", "TestAnAnswerOnItsWayIsNotResetAway"},
		"a last answer":            {client, "!canHalfClose || !sock.Unsent(c.Conn)", "!canHalfClose || true", "./internal/sidecar/connlimit", "TestTheLastAnswerArrivesComplete"},
		"a request read ahead":     {client, "c.readAhead.empty() && ", "", "./internal/sidecar/connlimit", "TestARequestReadAheadIsNotEvicted"},
		"an answer without length": {limiter, "c.responseOpen.Store(open)", "c.responseOpen.Store(false)", "./internal/sidecar/front/platform", "TestATruncatedAnswerIsNotComplete"},
		"late in the end":          {front, "request.Wait = window.ClampWait(request.Arrived, request.Wait)", "", "./internal/sidecar/wiring", "TestARequestReadLateInTheEndIsAnswered"},
		"what has not begun":       {request, "if !a.ended && a.call.Claim() {", "if false {", "./internal/sidecar/core", "TestNothingBeginsOnceTheClientHasGone"},
		"a queue before a hang-up": {request, "ctx.Err() != nil || in.ClientGone", "in.ClientGone", "./internal/sidecar/core", "TestADisconnectBehindALongQueue"},
		"an end seen by the send":  {attempt, "errors.Is(out.Err, upstream.ErrClientGone) && !r.closed", "false", "./internal/sidecar/core", "TestAnEndThatIsSeenFirstByTheSender"},
		"silence":                  {discovery, "silenceTimeout = 2500 *", "silenceTimeout = 3500 *", "./internal/sidecar/wiring", "TestChangesArriveInTime"},
		"a part is no life":        {discovery, "len(bytes.TrimSpace(p[:n])) == 0", "len(bytes.TrimSpace(p[:n])) >= 0", "./internal/sidecar/wiring", "TestChangesArriveInTime"},
		"a pause without end":      {"balance/parameters.go", "maxPollBackoff    = 1500", "maxPollBackoff    = 8000", "./internal/sidecar/wiring", "TestChangesArriveInTime"},
		"a call that hangs":        {discovery, "callTimeout = 3100 *", "callTimeout = 4000 *", "./internal/sidecar/wiring", "TestChangesArriveInTime"},
		"an older list":            {cursor, "if list.Generation < c.generation && !c.acceptAny {", "if false {", "./internal/sidecar/member", "TestCursor"},
		"another's list":           {cursor, "return list.Complete && len(known) > 0", "return false && len(known) > 0", "./internal/sidecar/member", "TestCursor"},
		"the cold budget":          {"balance/pick.go", "b.warmingUp(s) && !b.slowStartBudget(s)", "false", "./balance", "TestTheSlowStartBoundHoldsForTheFleet"},
		"a pause from the call on": {"balance/list.go", "backoff*jitter-(b.now-b.polling.lastAt)", "backoff*jitter", "./internal/sidecar/wiring", "TestChangesArriveInTime"},
	})
}
