// Package front is the interface between the code that accepts clients' requests and the core. A front parses bytes into a Request and
// writes the Answer that it gets. It knows nothing of servers, attempts or decisions, and decides nothing about them.
//
// Invariants: a front passes each request that it accepted to the core exactly once, and writes exactly one answer for it, at once. If
// the client goes away the front cancels the context and writes nothing.
package front

import (
	"context"
	"errors"
	"time"

	"petrelhook/internal/sidecar/message"
)

// Effect says whether a request may be executed more than once.
type Effect uint8

// The three effects.
const (
	Safe   Effect = iota // idempotent: it may be repeated at any time
	Keyed                // it carries an idempotency key, by which the servers of one group drop repeats within a window
	Unsafe               // it must never be executed twice
)

// Class is what a front must know of a class of requests. A Request refers to it by its position in the list of classes.
type Class struct {
	Name     string
	Effect   Effect
	Deadline time.Duration // the longest that a client waits
}

// Request is one client's request as parsed.
type Request struct {
	TraceID       string // unique until the request's deadline has passed: no other request with it is accepted before
	Class, Tenant int    // positions in the settings; -1: no tenant
	AffinityKey   string // requests with the same key do best at the same server; "": none
	WorkHint      time.Duration
	ClientRetry   bool // the client says that it has tried before
	Arrived       time.Time
	Wait          time.Duration // how long the client waits from Arrived on
	Message       message.Request
	// ClientGone reports whether the client has gone, which may be visible on its connection before the context is cancelled. It is
	// called from the goroutines that send attempts; nil: nothing but the context tells.
	ClientGone func() bool
}

// Verdict is the kind of an answer.
type Verdict uint8

// The verdicts.
const (
	Served  Verdict = iota // Reply holds a server's response
	Refused                // a retry does no harm; RetryAfter says when, if it is not 0
	Failed                 // the request may have been executed or not
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	Reply      message.Reply
	RetryAfter time.Duration
}

// Core answers requests. It is safe for concurrent use.
type Core interface {
	// Answer waits for the answer to a request. If ctx ends first the client has gone: nothing more is sent for the request, and the
	// error is the context's. ErrInUse and ErrInvalid mean that the request was not accepted and nothing of it was executed; ErrEnded
	// that the core has ended and it is unknown whether the request was executed; ErrClientGone that Request.ClientGone reported so.
	// The caller calls Done on the Reply once it is written.
	Answer(ctx context.Context, r Request) (Answer, error)
}

// The errors of Core.Answer.
var (
	ErrInUse      = errors.New("trace id in use")
	ErrInvalid    = errors.New("the request is not valid")
	ErrEnded      = errors.New("the sidecar has ended")
	ErrClientGone = errors.New("the client has gone")
)
