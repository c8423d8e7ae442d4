package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// memberSet is the hollow members of one process. Only subscribers adopt versions. The main loop of the process calls it.
type memberSet interface {
	// agents are the addresses of agents, in the order of members; nil: they are no agents.
	agents() []string
	// sample is what the members have done since they joined. An error is of a member that got what it must not.
	sample() (*sample, error)
	// await waits until a condition holds for all members, or ctx ends. It returns when the condition came to hold for each, in ns of the
	// machine's monotonic clock, where the members know that.
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
			if err := serveLine(ctx, &all, line, out); err != nil {
				return err
			}
		}
	}
}

// serveLine carries out the request in a line, and writes the response.
func serveLine(ctx context.Context, all *memberSet, line []byte, out io.Writer) error {
	var in request
	var answer response
	err := json.Unmarshal(line, &in)
	if err == nil {
		err = handle(ctx, all, &in, &answer)
	}
	if err != nil {
		answer.Err = err.Error()
	}
	text, err := json.Marshal(&answer)
	if err == nil {
		_, err = out.Write(append(text, '\n'))
	}
	if err != nil {
		return fmt.Errorf("response: %w", err)
	}
	return nil
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
	case in.Join != nil:
		return handleJoin(ctx, all, in.Join, out)
	case in.Sample:
		out.Sample, err = (*all).sample()
	case in.Await != nil:
		out.InForce, err = (*all).await(ctx, in.Await)
	case in.Adopted != nil:
		s, ok := (*all).(*subscribers)
		if !ok {
			return errors.New("these members adopt no versions")
		}
		out.Adoptions, err = s.adoptedSince(in.Adopted.From)
	default:
		err = errors.New("the request is empty")
	}
	return err
}

// handleJoin makes the members of a workload.
func handleJoin(ctx context.Context, all *memberSet, j *join, out *response) error {
	switch j.Workload {
	case LeaseRenewals:
		s, err := joinSessions(ctx, j)
		if err != nil {
			return err
		}
		*all = s
	case AgentPolls:
		a, err := joinAgents(j)
		if err != nil {
			return err
		}
		*all = a
		out.Agents = a.agents()
	case Subscriptions, Publishing:
		*all = joinSubscribers(j)
	default:
		return fmt.Errorf("unknown workload %q", j.Workload)
	}
	return nil
}
