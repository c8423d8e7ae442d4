package core

import (
	"context"

	"petrelhook/internal/front"
)

// answer is what a front gets: an answer, or why the request was not taken.
type answer struct {
	front.Answer
	err error
}

// Answer hands a request in and waits for its answer, as front.Core says.
func (l *Loop) Answer(ctx context.Context, in front.Request) (front.Answer, error) {
	r := &request{Request: in, answer: make(chan answer, 1)}
	l.post(func() { l.accept(r) })
	select {
	case a := <-r.answer:
		return a.Answer, a.err
	case <-ctx.Done():
		l.post(func() { l.hangUp(r) })
		return front.Answer{}, ctx.Err()
	case <-l.ended:
	}
	select {
	case a := <-r.answer: // given before the end
		return a.Answer, a.err
	default:
		return front.Answer{}, front.ErrEnded
	}
}

// Ready reports whether any server was listed that takes requests.
func (l *Loop) Ready() bool { return l.ready.Load() }

// reject turns down what was not taken.
func (l *Loop) reject(r *request, err error) {
	r.closed = true
	r.answer <- answer{err: err}
}
