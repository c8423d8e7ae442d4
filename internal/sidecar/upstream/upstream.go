// Package upstream is the interface between the core and the code that talks to servers: one exchange on one connection, with one
// outcome and a reliable answer to the question whether the server executed the request. An implementation neither chooses a server nor
// retries.
//
// A long request is streamed from the client to the server, and a long reply from the server to the client. Call.OnReplyStarted reports
// that a streamed reply has begun; from then on it belongs to the client.
//
// Invariants: Send returns exactly once for each call, and calls OnReplyStarted at most once, before it returns. Nothing is sent of a
// call whose Claim was won by a caller other than Send. A result whose NeverRan is true proves that the server did not execute the call; if that is
// in doubt, the result is another one.
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
	Served        Result = iota // a complete successful response
	Failed                      // an error status or a malformed response: it may have been executed
	Rejected                    // the server said that it did not execute the request
	TimedOut                    // no response in time: it may have been executed, or may still be
	ConnectFailed               // no connection, or it broke before the last byte of the request was sent
	Reset                       // the connection broke or ended after that: it may have been executed
	Cancelled                   // abandoned on this side: it may have been executed
	NotSent                     // never sent, for a reason on this side that says nothing about the server
)

// NeverRan reports whether the result proves that the server did not execute the request.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// String returns the name of the result in log lines.
func (r Result) String() string {
	names := [...]string{"served", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Outcome is the result of an exchange with what came with it.
type Outcome struct {
	Result     Result
	Reply      message.Reply // if Served
	LoadReport []float32     // in the order of the settings' fields, NaN for a missing one; nil: the server sent none
	Err        error         // why it was not served
}

// Call is one exchange to carry out. It must not be copied after its first use.
type Call struct {
	Message    message.Request
	Expires    time.Time     // the response is awaited until then; zero: until the context of Send ends
	Wait       time.Duration // the time limit that the server is given if Expires is zero, from the last byte of the request on
	SendBefore time.Time     // the first byte must be sent before this time; zero: no such limit
	ClientGone func() bool   // called last before the first byte is sent: reports that the client has gone; nil: it has not
	claimed    atomic.Bool

	// OnRequestWritten is called, from a goroutine of Send, when the last byte of a streamed request was sent; may be nil.
	OnRequestWritten func()
	// OnReplyStarted is called, from a goroutine of Send, with a Served outcome whose reply is streamed before it is complete. The
	// reply has a Remainder, and Send returns only after that was read to its end or closed; the outcome that Send returns then says
	// how it ended. nil: replies are buffered, and too long ones fail.
	OnReplyStarted func(Outcome)
}

// ErrClientGone is the error of a call that was not sent because Call.ClientGone was true.
var ErrClientGone = errors.New("the client has gone")

// Claim decides, once and for all, between sending the first byte of a call and abandoning the call before that. It returns true to the
// first caller only: a request that is over is not sent, and an abandoned one that was not sent is known never to have been executed.
func (c *Call) Claim() bool { return c.claimed.CompareAndSwap(false, true) }

// Endpoint is one server. The core's loop calls Update and CloseIdle, which do not wait for the server; Send and CheckHealth wait and may
// be called concurrently.
type Endpoint interface {
	// Update sets the address at which the server listens ("": unchanged) and whether it accepts requests from now on. If it accepts
	// none, nothing is sent to it after the drain grace period, not even calls that began before.
	Update(addr string, accepting bool)
	// CloseIdle closes the connections that carry no exchange.
	CloseIdle()
	// Send carries out a call. It returns when the exchange has ended, or soon after ctx has, which abandons the exchange.
	Send(ctx context.Context, c *Call) Outcome
	// CheckHealth sends one health check, with a time limit of its own.
	CheckHealth(ctx context.Context) Outcome
}

// Servers creates endpoints, which share what is limited for all of them together, such as file descriptors.
type Servers interface {
	// NewEndpoint returns an endpoint that accepts requests once Update has set its address.
	NewEndpoint() Endpoint
}
