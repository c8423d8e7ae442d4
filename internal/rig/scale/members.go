package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// memberSet is the hollow members of one process. Only subscribers adopt versions.
type memberSet interface {
	agents() []string
	sample() (*sample, error)
	await(context.Context, *condition) ([]int64, error)
}

// maxLine bounds a line between a run and a process of members, in bytes.
const maxLine = 8 << 20

// ServeMembers is the main loop of a process of hollow members: it serves the run's requests from in, one after the other, and
// returns when in ends. The goroutines of the members go on until the process ends, as if their machines failed.
func ServeMembers(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lines := make(chan []byte)
	go func() { // it ends with its input
		defer cancel(errRunEnded)
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
	var all memberSet
	for {
		select {
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), errRunEnded) {
				return nil
			}
			return context.Cause(ctx)
		case line := <-lines:
			var q request
			var a response
			err := json.Unmarshal(line, &q)
			if err == nil {
				err = handle(ctx, &all, &q, &a)
			}
			if err != nil {
				a.Err = err.Error()
			}
			text, err := json.Marshal(&a)
			if err == nil {
				_, err = out.Write(append(text, '\n'))
			}
			if err != nil {
				return fmt.Errorf("response: %w", err)
			}
		}
	}
}

// errRunEnded says that the input has ended.
var errRunEnded = errors.New("the run has ended")

// errNotJoined answers any request before a join, and a second join.
var errNotJoined = errors.New("the members have not joined, or joined before")

// handle carries out one request; a join sets *all.
func handle(ctx context.Context, all *memberSet, in *request, out *response) (err error) {
	switch {
	case (in.Join != nil) != (*all == nil):
		return errNotJoined
	case in.Join != nil && in.Join.Workload == LeaseRenewals:
		s, err := joinSessions(ctx, in.Join)
		if err != nil {
			return err
		}
		*all = s
	case in.Join != nil && in.Join.Workload == AgentPolls:
		s, err := joinAgents(in.Join)
		if err != nil {
			return err
		}
		*all = s
		out.Agents = s.agents()
	case in.Join != nil && (in.Join.Workload == Subscriptions || in.Join.Workload == Publishing):
		*all = joinSubscribers(in.Join)
	case in.Join != nil:
		return fmt.Errorf("unknown workload %q", in.Join.Workload)
	case in.Sample:
		out.Sample, err = (*all).sample()
	case in.Await != nil:
		out.InForce, err = (*all).await(ctx, in.Await)
	case in.Adopted != nil:
		w, ok := (*all).(*subscribers)
		if !ok {
			return errors.New("these members adopt no versions")
		}
		out.Adoptions, err = w.adoptedSince(in.Adopted.From)
	default:
		err = errors.New("the request is empty")
	}
	return err
}
