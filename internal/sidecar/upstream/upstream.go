// Package upstream is the interface between the core and the code that communicates with servers. A call is one exchange on one
// connection; it has one outcome, which states reliably whether the server may have executed the request. An implementation
// neither chooses a server nor retries.
//
// A long request is streamed from the client to the server, and a long reply from the server to the client. Call.OnReplyStarted
// reports that a streamed reply has started; from then on the reply is passed to the client and can no longer be replaced by a
// retry.
//
// Invariants: Send returns exactly once for each call, and calls OnReplyStarted at most once, before it returns. If another
// caller than Send has claimed a call first (Call.Claim returned true to it), nothing of the call is sent. A result whose
// NeverRan is true proves that the server did not execute the call; in case of doubt the result is another one.
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
	Rejected                    // the server stated that it did not execute the request
	TimedOut                    // no response in time: it may have been executed, or may be executed later
	ConnectFailed               // no connection, or it broke before the last byte of the request was sent
	Reset                       // the connection broke or ended after that: it may have been executed
	Cancelled                   // cancelled by the sidecar: it may have been executed
	NotSent                     // not sent, for a reason in the sidecar or its client that says nothing about the server
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

// Outcome is the result of an exchange, with the reply, the server's load report or an error.
type Outcome struct {
	Result     Result
	Reply      message.Reply // if Served
	LoadReport []float32     // in the order of the settings' fields, NaN for a missing one; nil if the server sent none
	Err        error         // why the call was not served; may be nil
}

// Call is one exchange to carry out. It must not be copied after its first use.
type Call struct {
	Message    message.Request
	Expires    time.Time     // until when the response is awaited; zero: until the context of Send ends
	Wait       time.Duration // the time limit that the server is given if Expires is zero, from the last byte of the request on
	SendBefore time.Time     // the first byte must be sent before this time; zero if there is no such limit
	ClientGone func() bool   // called immediately before the first byte is sent; true: nothing is sent; may be nil
	claimed    atomic.Bool

	// OnRequestWritten is called, from a goroutine of Send, when the last byte of a streamed request was sent. It may be nil.
	OnRequestWritten func()
	// OnReplyStarted is called, from a goroutine of Send, with a Served outcome whose reply is streamed before it is complete.
	// The reply has a Remainder; Send returns only after that was read to its end or closed, and the outcome that it returns
	// tells how the reply ended. If OnReplyStarted is nil, replies are buffered, and too long ones fail.
	OnReplyStarted func(Outcome)
}

// ErrClientGone is the error of a call that was not sent because Call.ClientGone was true.
var ErrClientGone = errors.New("the client has gone")

// Claim decides whether a call is sent or abandoned before its first byte is sent. It returns true to the first caller only:
// Send, which then sends the call, or the core, which then knows that the call was not executed and will not be sent. It is safe
// for concurrent use.
func (c *Call) Claim() bool { return c.claimed.CompareAndSwap(false, true) }

// Endpoint is one server. The core's loop calls Update and CloseIdle, which do not wait for the server. Send and CheckHealth wait
// for the server and may be called concurrently.
type Endpoint interface {
	// Update sets the address of the server, unless addr is empty, and whether the server accepts requests from now on. If it
	// does not, no call is started after the drain grace period, not even one that already waits for its connection.
	Update(addr string, accepting bool)
	// CloseIdle closes the connections that carry no exchange.
	CloseIdle()
	// Send carries out a call. It returns when the exchange has ended. If ctx ends first, Send cancels the exchange and returns
	// soon.
	Send(ctx context.Context, c *Call) Outcome
	// CheckHealth sends one health check, with a time limit of its own.
	CheckHealth(ctx context.Context) Outcome
}

// Servers creates endpoints, which share the resources that are limited for all of them together, such as file descriptors.
type Servers interface {
	// NewEndpoint returns an endpoint that accepts requests once Update has set its address.
	NewEndpoint() Endpoint
}
