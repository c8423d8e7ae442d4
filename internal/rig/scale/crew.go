package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
)

// crew is a run's processes of hollow members.
type crew struct {
	all []*ship
}

// ship is one of them. It answers one question at a time.
type ship struct {
	*child
	span
	in  *os.File // its standard input: the process ends where this does
	out *bufio.Scanner
	end *os.File
}

// newCrew starts the processes; nobody has joined yet.
func newCrew(f *family, program string, spans []span) (*crew, error) {
	c := &crew{}
	for i, members := range spans {
		s, err := newShip(f, fmt.Sprintf("members-%d", i+1), exec.Command(program, "scale", "members"), members)
		if err != nil {
			c.close()
			return nil, err
		}
		c.all = append(c.all, s)
	}
	return c, nil
}

func newShip(f *family, name string, cmd *exec.Cmd, members span) (*ship, error) {
	theirs, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = theirs.Close() }()
	out, its, err := os.Pipe()
	if err != nil {
		_ = in.Close()
		return nil, err
	}
	defer func() { _ = its.Close() }()
	p, err := f.start(name, cmd, theirs, its)
	if err != nil {
		_ = in.Close()
		_ = out.Close()
		return nil, err
	}
	s := &ship{child: p, span: members, in: in, out: bufio.NewScanner(out), end: out}
	s.out.Buffer(make([]byte, 64<<10), maxLine)
	return s, nil
}

// close ends the questions.
func (c *crew) close() {
	for _, s := range c.all {
		s.child.ask()
		_ = s.in.Close()
		_ = s.end.Close()
	}
}

// ask asks all at once, and waits for all answers. Where ctx ends, the answers still to come are never read: the run
// is over.
func (c *crew) ask(ctx context.Context, q func(span) question) ([]answer, error) {
	answers, errs := make([]answer, len(c.all)), make([]error, len(c.all))
	var sides sync.WaitGroup
	for i, s := range c.all {
		sides.Go(func() {
			if errs[i] = s.ask(ctx, q(s.span), &answers[i]); errs[i] != nil {
				errs[i] = fmt.Errorf("%s: %w", s.name, errs[i])
			}
		})
	}
	sides.Wait()
	return answers, errors.Join(errs...)
}

func (s *ship) ask(ctx context.Context, q question, a *answer) error {
	text, err := json.Marshal(&q)
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return context.Cause(ctx)
	}
	defer func() { _ = context.AfterFunc(ctx, func() { s.end.Close() })() }() // who reads is woken
	if _, err := s.in.Write(append(text, '\n')); err != nil {
		return err
	}
	switch {
	case s.out.Scan():
		err = json.Unmarshal(s.out.Bytes(), a)
	case ctx.Err() != nil:
		err = context.Cause(ctx)
	case s.out.Err() != nil:
		err = s.out.Err()
	default:
		err = errors.New("it has ended")
	}
	if err == nil && a.Err != "" {
		err = errors.New(a.Err)
	}
	return err
}

// samples are those of all members, summed up.
func (c *crew) sample(ctx context.Context) ([]answer, error) {
	all, err := c.ask(ctx, func(span) question { return question{Sample: true} })
	for i := range all {
		if err == nil && all[i].Sample == nil {
			err = errors.New("no sample was given")
		}
	}
	return all, err
}
