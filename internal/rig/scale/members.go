package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// hollow is the members of one process.
type hollow interface {
	agents() []string
	sample() (*sample, error)
	await(context.Context, *await) ([]int64, error)
}

// maxLine bounds a line between a run and a process of members, in bytes.
const maxLine = 8 << 20

// Members is the process of hollow members: it answers the run's questions, one after the other, until there are no
// more. What it has begun ends with its process, as that of members that fall does.
func Members(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lines := make(chan []byte)
	go func() { // it ends with its input
		defer cancel(errEnded)
		read := bufio.NewScanner(in)
		read.Buffer(make([]byte, 64<<10), maxLine)
		for read.Scan() {
			select {
			case lines <- append([]byte(nil), read.Bytes()...):
			case <-ctx.Done():
				return
			}
		}
	}()
	var all hollow
	for {
		select {
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), errEnded) {
				return nil
			}
			return context.Cause(ctx)
		case line := <-lines:
			var q question
			var a answer
			err := json.Unmarshal(line, &q)
			if err == nil {
				err = ask(ctx, &all, &q, &a)
			}
			if err != nil {
				a.Err = err.Error()
			}
			text, err := json.Marshal(&a)
			if err == nil {
				_, err = out.Write(append(text, '\n'))
			}
			if err != nil {
				return fmt.Errorf("answer: %w", err)
			}
		}
	}
}

// errEnded says that there are no more questions.
var errEnded = errors.New("the run has ended")

var errNotJoined = errors.New("the members have not joined, or joined before")

func ask(ctx context.Context, all *hollow, q *question, a *answer) (err error) {
	switch {
	case (q.Join != nil) != (*all == nil):
		return errNotJoined
	case q.Join != nil && q.Join.Workload == Renewals:
		s, err := joinSessions(ctx, q.Join)
		if err != nil {
			return err
		}
		*all = s
	case q.Join != nil && q.Join.Workload == Looks:
		s, err := joinAgents(q.Join)
		if err != nil {
			return err
		}
		*all = s
		a.Agents = s.agents()
	case q.Join != nil && (q.Join.Workload == Watches || q.Join.Workload == Publish):
		*all = joinWatchers(q.Join)
	case q.Join != nil:
		return fmt.Errorf("workload %q: there is none", q.Join.Workload)
	case q.Sample:
		a.Sample, err = (*all).sample()
	case q.Await != nil:
		a.InForce, err = (*all).await(ctx, q.Await)
	case q.Taken != nil:
		w, ok := (*all).(*watchers)
		if !ok {
			return errors.New("these members take nothing")
		}
		a.Takes, err = w.taken(q.Taken.From)
	default:
		err = errors.New("nothing is asked")
	}
	return err
}
