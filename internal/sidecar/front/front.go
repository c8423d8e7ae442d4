// Package front defines the interface between a front, which is the code that accepts clients' requests, and the core. A front
// parses bytes into a Request, passes it to Core.Answer and writes the Answer that is returned. It has no access to servers or
// attempts and makes no decision about them.
//
// Invariants: a front passes each request that it has accepted to the core exactly once, and writes exactly one answer for it as
// soon as it has that answer. If the client disconnects, the front cancels the context and writes nothing.
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
	Safe   Effect = iota // the request is idempotent and may be repeated at any time
	Keyed                // the request carries an idempotency key; the servers of one group drop repeats of it within a window
	Unsafe               // the request must never be executed twice
)

// Class holds what a front needs to know about a class of requests. A Request refers to its class by the index in the list of
// classes.
type Class struct {
	Name     string
	Effect   Effect
	Deadline time.Duration // the longest time that a client waits
}

// Request is one parsed request of a client.
type Request struct {
	TraceID       string // unique until the request's deadline has passed: until then no other request with this id is accepted
	Class, Tenant int    // indexes in the settings; Tenant -1: none
	AffinityKey   string // requests with the same key are best served by the same server; "": none
	WorkHint      time.Duration
	ClientRetry   bool // the client marked the request as a retry
	Arrived       time.Time
	Wait          time.Duration // how long the client waits, counted from Arrived
	Message       message.Request
	// ClientGone reports whether the client has disconnected, which may be visible on its connection before the context is
	// cancelled. It is called from the goroutines that send attempts. Nil: only the context reports a disconnect.
	ClientGone func() bool
}

// Verdict is the kind of an answer.
type Verdict uint8

// The verdicts.
const (
	Served  Verdict = iota // Reply holds a server's response
	Refused                // a retry does no harm; RetryAfter says when, if it is not 0
	Failed                 // it is unknown whether the request was executed
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	Reply      message.Reply
	RetryAfter time.Duration
}

// Core answers requests. It is safe for concurrent use.
type Core interface {
	// Answer blocks until the request is answered. The front cancels ctx when the client disconnects: then no further attempt is
	// sent for the request, and the context's error is returned. ErrInUse and ErrInvalid mean that the request was not accepted
	// and not executed. ErrCoreEnded means that the core has ended, and it is unknown whether the request was executed.
	// ErrClientGone means that Request.ClientGone reported a disconnect. The caller calls Done on the Reply once it is written.
	Answer(ctx context.Context, r Request) (Answer, error)
}

// The errors of Core.Answer.
var (
	ErrInUse      = errors.New("trace id in use")
	ErrInvalid    = errors.New("the request is not valid")
	ErrCoreEnded  = errors.New("the sidecar has ended")
	ErrClientGone = errors.New("the client has gone")
)
