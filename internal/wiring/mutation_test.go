//go:build !race

package wiring

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// The guards of rare moments, each taken out: the test that forces its moment fails.
func TestGuardsOfRareMoments(t *testing.T) {
	const (
		limiter   = "internal/connlimit/limiter.go"
		request   = "internal/core/request.go"
		attempt   = "internal/core/attempt.go"
		front     = "internal/front/platform/platform.go"
		discovery = "internal/member/discovery/discovery.go"
		cursor    = "internal/member/cursor.go"
	)
	mutate.Caught(t, "../..", map[string]mutate.Mutant{
		"room for another":         {limiter, " && !sock.Unsent(c.Conn) }", " }", "./internal/connlimit", "TestAnAnswerOnItsWayIsNotResetAway"},
		"an answer on its way":     {limiter, "			c.end(now)\n", "			c.Conn.Close()\n			b.admit.Gone(p, now)\n", "./internal/connlimit", "TestAnAnswerOnItsWayIsNotResetAway"},
		"a last answer":            {limiter, "!half || !sock.Unsent(c.Conn)", "!half || true", "./internal/connlimit", "TestALastAnswerIsTakenWhole"},
		"a request read ahead":     {limiter, "c.ahead.empty() && ", "", "./internal/connlimit", "TestARequestReadAheadKeepsItsPlace"},
		"an answer without length": {limiter, "c.unfinished.Store(is)", "c.unfinished.Store(false)", "./internal/front/platform", "TestACutAnswerIsNotWhole"},
		"late in the end":          {front, "in.Wait = end.Within(in.Arrived, in.Wait)", "", "./internal/wiring", "TestARequestReadLateInTheEndIsAnswered"},
		"what has not begun":       {request, "if !at.done && at.call.Claim() {", "if false {", "./internal/core", "TestNothingBeginsOnceTheClientHasGone"},
		"a queue before a hang-up": {request, "ctx.Err() != nil || in.Gone", "in.Gone", "./internal/core", "TestAHangUpBehindALongQueue"},
		"an end seen by the send":  {attempt, "errors.Is(out.Err, upstream.ErrGone) && !r.closed", "false", "./internal/core", "TestAnEndThatIsSeenFirstByTheSender"},
		"silence":                  {discovery, "watchSilence = 2500 *", "watchSilence = 3500 *", "./internal/wiring", "TestNewsComeInTime"},
		"a part is no life":        {discovery, "len(bytes.TrimSpace(p[:n])) == 0", "len(bytes.TrimSpace(p[:n])) >= 0", "./internal/wiring", "TestNewsComeInTime"},
		"a pause without end":      {"balance/parameters.go", "mostPause    = 1500", "mostPause    = 8000", "./internal/wiring", "TestNewsComeInTime"},
		"a call that hangs":        {discovery, "callTimeout  = 3100 *", "callTimeout  = 4000 *", "./internal/wiring", "TestNewsComeInTime"},
		"an older list":            {cursor, "if l.Generation < c.held && !c.anew {", "if false {", "./internal/member", "TestCursor"},
		"another's list":           {cursor, "return l.Whole && len(known) > 0", "return false && len(known) > 0", "./internal/member", "TestCursor"},
		"the cold budget":          {"balance/pick.go", "b.cold(s) && !b.coldBudget(s)", "false", "./balance", "TestTheRampHoldsForTheFleet"},
		"a pause from the call on": {"balance/list.go", "pause*jitter-(b.now-b.askedAt)", "pause*jitter", "./internal/wiring", "TestNewsComeInTime"},
	})
}
