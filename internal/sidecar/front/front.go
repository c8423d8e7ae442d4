// Package front is the seam between what takes requests and the core. A front turns bytes into one Request and writes
// the one Answer that it gets; it knows nothing of servers, attempts or decisions, and has no say in them.
//
// Invariants: a front hands in each request that it took exactly once, and writes exactly one answer for it, at once;
// where its client goes away it ends the context and writes nothing.
package front

import (
	"context"
	"errors"
	"time"

	"petrelhook/internal/sidecar/message"
)

// Effect says whether a request may run more than once.
type Effect uint8

// The three effects.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // servers of one group drop repeats within a window
	Unsafe               // must never run twice
)

// Class is what a front must know of a class of requests. Its position in the list of classes names it in a Request.
type Class struct {
	Name     string
	Effect   Effect
	Deadline time.Duration // the longest that a client waits
}

// Request is one client's request as read.
type Request struct {
	Trace         string // its id; no other request has it until this one's time is up
	Class, Tenant int    // positions in the settings; no tenant: -1
	Subject       string // what it is about, "" where nothing says so
	Hint          time.Duration
	Repeat        bool // the client says that it tried before
	Arrived       time.Time
	Wait          time.Duration // for how long from Arrived the client waits
	Message       message.Request
	Gone          func() bool // looks whether its client has gone, which may not have been told yet; nil: nobody can look
}

// Verdict is the kind of an answer.
type Verdict uint8

// The verdicts.
const (
	Served  Verdict = iota // Reply holds what a server made
	Refused                // to try again does no harm; RetryAfter says when, if it is not 0
	Failed                 // promises nothing
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	Reply      message.Reply
	RetryAfter time.Duration
}

// Core answers requests. It is safe for concurrent use.
type Core interface {
	// Answer waits for a request's answer. Where ctx ends first the client has gone: nothing more is sent for the
	// request, and the error is the context's. ErrInUse and ErrInvalid mean that the request was not taken, so nothing
	// of it ran; ErrEnded that the core has ended, and nothing is known of it; ErrGone is for Request.Gone.
	// Whoever has written a Reply calls its Done.
	Answer(ctx context.Context, r Request) (Answer, error)
}

// What Answer reports.
var (
	ErrInUse   = errors.New("trace id in use")
	ErrInvalid = errors.New("the request cannot be taken")
	ErrEnded   = errors.New("the sidecar has ended")
	ErrGone    = errors.New("the client has gone")
)
