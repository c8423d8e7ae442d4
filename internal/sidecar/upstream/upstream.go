// Package upstream is the seam between the core and the servers' side: one exchange on one connection, one outcome, and
// a certain answer to 'has it run?'. What carries it out neither chooses a server nor tries anything again.
//
// A long request is passed on as it comes from its client, and a long answer as it comes from the server: that one has
// begun is told when it has, and from then on it is the client's.
//
// Invariants: Send returns exactly once for each call, and tells of a beginning at most once and before that. What Call.Claim has been won for by somebody else never leaves.
// A result whose NeverRan is true proves that the server did not execute the call; in doubt it is another result.
package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/message"
)

// Result is how an exchange ended.
type Result uint8

// The results.
const (
	Served        Result = iota // a whole answer of success
	Failed                      // an error, or an answer that makes no sense: it may have run
	TurnedAway                  // the server's word that it did not run
	TimedOut                    // no answer in time: it may have run, or may yet
	ConnectFailed               // no connection, or it broke before the last byte of the request had left
	Reset                       // the connection broke or ended after that: it may have run
	Cancelled                   // given up on our side: it may have run
	Moot                        // never sent, for a reason on our side that says nothing of the server
)

// NeverRan reports whether the result proves that nothing was executed.
func (r Result) NeverRan() bool { return r == TurnedAway || r == ConnectFailed || r == Moot }

// String names the result, for logs.
func (r Result) String() string {
	names := [...]string{"served", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Outcome is what came of an exchange.
type Outcome struct {
	Result Result
	Reply  message.Reply // where it was served
	Report []float32     // load report in the order of the settings' fields, NaN for one that is missing; nil: none
	Err    error         // why it was not served
}

// Call is one exchange to carry out.
type Call struct {
	Message message.Request
	Expires time.Time     // the answer is waited for until then; zero: until the call is given up
	Wait    time.Duration // what the server is told where Expires is zero: how long from the last byte of the request on
	Begin   time.Time     // the first byte must leave before; zero: no bound of its own
	Gone    func() bool   // looked at last before the first byte leaves: whether nobody waits any more; nil: somebody does
	claimed atomic.Bool

	// Written is called when the last byte of a request with a rest has left; nil: nobody asks.
	Written func()
	// Begun is called with a served outcome when the answer is passed on before it is whole. Its reply has a rest, which has
	// to be read or closed for Send to return; what Send returns says then how the rest ended. nil: all answers are short.
	Begun func(Outcome)
}

// ErrGone is of a call that was not sent since nobody waited for it any more.
var ErrGone = errors.New("the client has gone")

// Claim decides once and for all between the first byte of an exchange and its being given up before that. The first
// to claim wins: a request that is over is not sent, and one that was not sent is known never to have run.
func (c *Call) Claim() bool { return c.claimed.CompareAndSwap(false, true) }

// Endpoint is one server.
type Endpoint interface {
	// Turn tells where the server listens ("": where it did) and whether it takes requests from now on. Where it takes
	// none, nothing is sent once the grace is over, whatever was asked for before.
	Turn(addr string, takes bool)
	// CloseIdle closes the connections that carry nothing.
	CloseIdle()
	// Send carries out a call. It returns when the exchange has ended, or soon after ctx has, which gives it up.
	Send(ctx context.Context, c *Call) Outcome
	// Probe asks the server how it is, within a bound of its own.
	Probe(ctx context.Context) Outcome
}

// Servers makes endpoints, which share what is bounded together, such as descriptors.
type Servers interface{ Endpoint() Endpoint }
