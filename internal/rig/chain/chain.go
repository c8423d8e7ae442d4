// Package chain answers what a sidecar adds to a call, and what repeats do over a depth of calls: real sidecar
// processes, with applications between them that run in this process.
//
//	client -> sidecar 1 -> application 1 -> sidecar 2 -> application 2 -> ... -> sidecar D -> leaf
//
// An application is some servers, as ports of this process, that make one call through the next sidecar for each
// request and pass on what comes of it; see Pass. A leaf answers after a stated time, and fails a stated part of its
// requests with 500, which says that they may have run. Everything is on loopback and bounded in calls and time.
//
// Counts are exact: an attempt counts when its last byte has come to a server, and all counts are read once nothing of
// the chain runs any more. Times are those of the machine: where the generator lags the result says so.
package chain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// The bounds of one run.
const (
	MaxDepth   = 32
	MaxServers = 16
	MaxCalls   = 200_000
	MaxLength  = 2 * time.Minute

	MaxDeadline = 3 * time.Second // the platform's
)

// Pass says what an application tells the sidecar above it when its own call was not served.
type Pass string

// The ways to pass it on.
const (
	// PassStatus answers with the status that its sidecar gave it: 503 (with its Retry-After) and 502. Neither says that
	// nothing ran.
	PassStatus Pass = "status"
	// PassMarked answers a refusal with 503, Retry-After and X-Never-Ran: 1, a server's word that it turned the request
	// away: what it would have done itself comes after its call. A failure is a 500.
	PassMarked Pass = "marked"
	// PassError answers both with 500.
	PassError Pass = "error"
)

// Config is one chain and its load.
type Config struct {
	Program string // of the sidecar; "": none, every hop is a call straight to the next level's servers in turn
	Depth   int    // levels of servers, the leaf's among them
	Servers int    // a level
	Pass    Pass
	Work    time.Duration // for which the leaf works on a request
	Fail    float64       // part of the leaf's requests that fail, drawn for each attempt

	Rate   float64       // calls a second at the top
	Length time.Duration // of the load
	Unsafe float64       // part of the calls whose class is unsafe to repeat; the others are safe
	Seed   uint64

	Aim, Deadline time.Duration // of a call at the top; applications pass on what is left of the deadline

	arrived func(depth int) // a request has come to a server of this depth; nil: nobody is told
}

// Check says what is wrong with a configuration.
func (c *Config) Check() error {
	switch {
	case c.Depth < 1 || c.Depth > MaxDepth:
		return fmt.Errorf("depth: %d; write 1 to %d", c.Depth, MaxDepth)
	case c.Servers < 1 || c.Servers > MaxServers:
		return fmt.Errorf("servers: %d; write 1 to %d", c.Servers, MaxServers)
	case c.Pass != PassStatus && c.Pass != PassMarked && c.Pass != PassError:
		return fmt.Errorf("pass: unknown way %q; write status, marked or error", c.Pass)
	case !(c.Fail >= 0 && c.Fail <= 1):
		return fmt.Errorf("fail: %v; write a part from 0 to 1", c.Fail)
	case !(c.Unsafe >= 0 && c.Unsafe <= 1):
		return fmt.Errorf("unsafe: %v; write a part from 0 to 1", c.Unsafe)
	case c.Work < 0 || c.Work > time.Second:
		return fmt.Errorf("work: %v; write 0s to 1s", c.Work)
	case c.Deadline < 10*time.Millisecond || c.Deadline > MaxDeadline:
		return fmt.Errorf("deadline: %v; write 10ms to %v", c.Deadline, MaxDeadline)
	case c.Aim < time.Millisecond || c.Aim > c.Deadline:
		return fmt.Errorf("aim: %v; write 1ms to the deadline, %v", c.Aim, c.Deadline)
	case c.Length < 100*time.Millisecond || c.Length > MaxLength:
		return fmt.Errorf("length: %v; write 100ms to %v", c.Length, MaxLength)
	case !(c.Rate > 0) || c.Rate*c.Length.Seconds() > MaxCalls:
		return fmt.Errorf("rate: %v a second; write more than 0, and at most %d calls in all", c.Rate, MaxCalls)
	}
	return nil
}

// chain is one that runs.
type chain struct {
	cfg      Config
	levels   []*level // from the top; the last is the leaf
	sidecars []*sidecar
	dir      string // of the sidecars' files
	top      []string
}

// start starts a chain from its leaf upwards, and returns when its sidecars are ready. Where it cannot, nothing is
// left.
func start(ctx context.Context, cfg Config) (_ *chain, err error) {
	c := &chain{cfg: cfg, levels: make([]*level, cfg.Depth)}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.close())
		}
	}()
	if cfg.Program != "" {
		if c.dir, err = os.MkdirTemp("", "chain-"); err != nil {
			return nil, err
		}
	}
	for depth := cfg.Depth; depth >= 1; depth-- {
		l := newLevel(&c.cfg, depth, c.top)
		c.levels[depth-1] = l
		if err := l.listen(); err != nil {
			return nil, fmt.Errorf("level %d: %w", depth, err)
		}
		if c.top = l.addrs; cfg.Program == "" {
			continue
		}
		s, err := startSidecar(ctx, cfg.Program, c.dir, l)
		if s != nil {
			c.sidecars = append(c.sidecars, s)
		}
		if err != nil {
			return nil, fmt.Errorf("sidecar %d: %w", depth, err)
		}
		c.top = []string{s.addr}
	}
	for _, s := range c.sidecars {
		if err := s.ready(ctx); err != nil {
			return nil, fmt.Errorf("sidecar %d: %w", s.depth, err)
		}
	}
	return c, nil
}

// close ends the sidecars, then the servers. Each finishes what it has taken before it ends.
func (c *chain) close() error {
	var all []error
	for i := len(c.sidecars) - 1; i >= 0; i-- {
		c.sidecars[i].terminate()
	}
	until := time.Now().Add(stopWithin)
	for i := len(c.sidecars) - 1; i >= 0; i-- {
		all = append(all, c.sidecars[i].wait(until))
	}
	for _, l := range c.levels {
		if l != nil {
			l.close()
		}
	}
	if c.dir != "" {
		all = append(all, os.RemoveAll(c.dir))
	}
	return errors.Join(all...)
}

// transport is what an application makes its calls with: connections are kept, and as many opened as there are calls
// at once.
func transport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 1 << 10, IdleConnTimeout: idle / 2, DisableCompression: true}
}
