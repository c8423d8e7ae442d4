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

// memberProcesses are a run's processes of hollow members.
type memberProcesses struct {
	all []*memberProcess
}

// memberProcess is one of them. It serves one request at a time.
type memberProcess struct {
	*child
	span
	requests     *os.File // its standard input: the process ends when this is closed
	responses    *bufio.Scanner
	responsePipe *os.File
}

// startMemberProcesses starts a process for each span of members. The members have not joined yet.
func startMemberProcesses(processes *processGroup, program string, spans []span) (*memberProcesses, error) {
	c := &memberProcesses{}
	for i, members := range spans {
		s, err := startMemberProcess(processes, fmt.Sprintf("members-%d", i+1), exec.Command(program, "scale", "members"), members)
		if err != nil {
			c.close()
			return nil, err
		}
		c.all = append(c.all, s)
	}
	return c, nil
}

// startMemberProcess starts one process, whose standard input and output are pipes to this one.
func startMemberProcess(processes *processGroup, name string, cmd *exec.Cmd, members span) (*memberProcess, error) {
	processInput, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = processInput.Close() }()
	out, processOutput, err := os.Pipe()
	if err != nil {
		_ = in.Close()
		return nil, err
	}
	defer func() { _ = processOutput.Close() }()
	p, err := processes.start(name, cmd, processInput, processOutput)
	if err != nil {
		_ = in.Close()
		_ = out.Close()
		return nil, err
	}
	s := &memberProcess{child: p, span: members, requests: in, responses: bufio.NewScanner(out), responsePipe: out}
	s.responses.Buffer(make([]byte, 64<<10), maxLine)
	return s, nil
}

// close closes the pipes; the processes end with their input.
func (c *memberProcesses) close() {
	for _, s := range c.all {
		s.child.expectExit()
		_ = s.requests.Close()
		_ = s.responsePipe.Close()
	}
}

// call sends each process its request at the same time, and waits for all responses. When ctx ends, pending responses are never
// read: the run is over.
func (c *memberProcesses) call(ctx context.Context, newRequest func(span) request) ([]response, error) {
	responses, errs := make([]response, len(c.all)), make([]error, len(c.all))
	var calls sync.WaitGroup
	for i, s := range c.all {
		calls.Go(func() {
			if errs[i] = s.call(ctx, newRequest(s.span), &responses[i]); errs[i] != nil {
				errs[i] = fmt.Errorf("%s: %w", s.name, errs[i])
			}
		})
	}
	calls.Wait()
	return responses, errors.Join(errs...)
}

// call sends one request and reads its response into out. A response with an error is that error.
func (s *memberProcess) call(ctx context.Context, in request, out *response) error {
	text, err := json.Marshal(&in)
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return context.Cause(ctx)
	}
	defer func() { _ = context.AfterFunc(ctx, func() { _ = s.responsePipe.Close() })() }() // unblocks the read
	if _, err := s.requests.Write(append(text, '\n')); err != nil {
		return err
	}
	switch {
	case s.responses.Scan():
		err = json.Unmarshal(s.responses.Bytes(), out)
	case ctx.Err() != nil:
		err = context.Cause(ctx)
	case s.responses.Err() != nil:
		err = s.responses.Err()
	default:
		err = errors.New("the process has ended")
	}
	if err == nil && out.Err != "" {
		err = errors.New(out.Err)
	}
	return err
}

// sample gets the sample of each process.
func (c *memberProcesses) sample(ctx context.Context) ([]response, error) {
	all, err := c.call(ctx, func(span) request { return request{Sample: true} })
	for i := range all {
		if err == nil && all[i].Sample == nil {
			err = errors.New("the response has no sample")
		}
	}
	return all, err
}
