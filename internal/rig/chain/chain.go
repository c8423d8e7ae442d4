// Package chain measures what a sidecar adds to a call, and how retries multiply over a depth of calls, with real sidecar processes and
// applications between them that run in this process.
//
//	client -> sidecar 1 -> application 1 -> sidecar 2 -> application 2 -> ... -> sidecar D -> leaf
//
// An application is some servers, as ports of this process, which send one call through the next sidecar for each request and pass on
// its result (PassMode). A leaf answers after a given time, and fails a given fraction of its requests with 500, which says that they may
// have run. Everything is on loopback and bounded in calls and time.
//
// Counts are exact: an attempt counts when its last byte has arrived at a server, and counts are read once the chain has ended. Times
// depend on the machine: if the generator lags, the result says so.
package chain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// Bounds of one run.
const (
	MaxDepth   = 32
	MaxServers = 16
	MaxCalls   = 200_000
	MaxLength  = 2 * time.Minute

	MaxDeadline = 3 * time.Second // that of the platform
)

// PassMode says what an application answers when its own call was not served.
type PassMode string

// The modes.
const (
	// PassStatus answers with the status of its own sidecar's answer: 503 (with its Retry-After) and 502. Neither says that nothing
	// ran.
	PassStatus PassMode = "status"
	// PassMarked answers a rejection with 503, Retry-After and X-Never-Ran: 1, as a server that rejects a request does: the
	// application's own work would come after its call. A failure is a 500.
	PassMarked PassMode = "marked"
	// PassError answers both with 500.
	PassError PassMode = "error"
)

// Config is one chain and its load.
type Config struct {
	Program      string // of the sidecar; "": without sidecars, each call goes to the next level's servers directly, in rotation
	Depth        int    // levels of servers, including the leaf
	Servers      int    // of each level
	PassMode     PassMode
	Work         time.Duration // time that the leaf takes for a request
	FailFraction float64       // of the leaf's requests, drawn for each attempt

	Rate           float64       // calls a second that the client sends
	Length         time.Duration // of the load
	UnsafeFraction float64       // of the calls, whose class is unsafe to repeat; the others are safe
	Seed           uint64

	LatencyTarget, Deadline time.Duration // of a client's call; applications pass on what is left of the deadline

	onArrival func(depth int) // is called for each request that arrives at a server of a depth; may be nil
}

// Check returns an error that names the invalid field.
func (c *Config) Check() error {
	switch {
	case c.Depth < 1 || c.Depth > MaxDepth:
		return fmt.Errorf("depth: %d; write 1 to %d", c.Depth, MaxDepth)
	case c.Servers < 1 || c.Servers > MaxServers:
		return fmt.Errorf("servers: %d; write 1 to %d", c.Servers, MaxServers)
	case c.PassMode != PassStatus && c.PassMode != PassMarked && c.PassMode != PassError:
		return fmt.Errorf("pass: unknown way %q; write status, marked or error", c.PassMode)
	case !(c.FailFraction >= 0 && c.FailFraction <= 1):
		return fmt.Errorf("fail: %v; write a part from 0 to 1", c.FailFraction)
	case !(c.UnsafeFraction >= 0 && c.UnsafeFraction <= 1):
		return fmt.Errorf("unsafe: %v; write a part from 0 to 1", c.UnsafeFraction)
	case c.Work < 0 || c.Work > time.Second:
		return fmt.Errorf("work: %v; write 0s to 1s", c.Work)
	case c.Deadline < 10*time.Millisecond || c.Deadline > MaxDeadline:
		return fmt.Errorf("deadline: %v; write 10ms to %v", c.Deadline, MaxDeadline)
	case c.LatencyTarget < time.Millisecond || c.LatencyTarget > c.Deadline:
		return fmt.Errorf("aim: %v; write 1ms to the deadline, %v", c.LatencyTarget, c.Deadline)
	case c.Length < 100*time.Millisecond || c.Length > MaxLength:
		return fmt.Errorf("length: %v; write 100ms to %v", c.Length, MaxLength)
	case !(c.Rate > 0) || c.Rate*c.Length.Seconds() > MaxCalls:
		return fmt.Errorf("rate: %v a second; write more than 0, and at most %d calls in all", c.Rate, MaxCalls)
	}
	return nil
}

// chain is a chain that runs.
type chain struct {
	cfg        Config
	levels     []*level // from the top; the last is the leaf
	sidecars   []*sidecar
	dir        string // of the sidecars' files
	entryAddrs []string
}

// start starts a chain from its leaf upwards, and returns when its sidecars are ready. On an error everything has ended.
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
		l := newLevel(&c.cfg, depth, c.entryAddrs)
		c.levels[depth-1] = l
		if err := l.listen(); err != nil {
			return nil, fmt.Errorf("level %d: %w", depth, err)
		}
		if c.entryAddrs = l.addrs; cfg.Program == "" {
			continue
		}
		s, err := startSidecar(ctx, cfg.Program, c.dir, l)
		if s != nil {
			c.sidecars = append(c.sidecars, s)
		}
		if err != nil {
			return nil, fmt.Errorf("sidecar %d: %w", depth, err)
		}
		c.entryAddrs = []string{s.addr}
	}
	for _, s := range c.sidecars {
		if err := s.ready(ctx); err != nil {
			return nil, fmt.Errorf("sidecar %d: %w", s.depth, err)
		}
	}
	return c, nil
}

// close ends the sidecars, then the servers. Each finishes what it has accepted before it ends.
func (c *chain) close() error {
	var failures []error
	for i := len(c.sidecars) - 1; i >= 0; i-- {
		c.sidecars[i].terminate()
	}
	until := time.Now().Add(stopTimeout)
	for i := len(c.sidecars) - 1; i >= 0; i-- {
		failures = append(failures, c.sidecars[i].wait(until))
	}
	for _, l := range c.levels {
		if l != nil {
			l.close()
		}
	}
	if c.dir != "" {
		failures = append(failures, os.RemoveAll(c.dir))
	}
	return errors.Join(failures...)
}

// newTransport is the transport of an application's calls. Connections are kept, and as many opened as there are concurrent calls.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 1 << 10, IdleConnTimeout: idleTimeout / 2, DisableCompression: true}
}
