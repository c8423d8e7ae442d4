// Package rehearse plays a scenario: it starts the stand-in fleet and discovery, the sidecars under test, sends the
// load, plays the faults, and has the records judged. What the sidecars are (processes, or the core in this process on
// a network in memory) is handed in as a Starter.
package rehearse

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"petrelhook/internal/rig/arrival"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/scenario"
	"petrelhook/internal/rig/standin"
)

// Network is what a rehearsal runs on.
type Network interface {
	standin.Network
	load.Dialer
}

// Starter starts sidecars.
type Starter interface {
	// Start starts the sidecar of a number with a configuration in the platform's form, and says where it listens.
	Start(number int, config []byte) (addr string, err error)
	// Stop ends all of them as an operator would, and returns when they have ended.
	Stop() error
}

// Rehearsal is one run.
type Rehearsal struct {
	Scenario *scenario.Scenario
	Network  Network
	Sidecars Starter // nil: clients go straight to the servers

	Connections int // of clients at once; 0: no bound
	MaxLag      time.Duration
	Wait        func(ctx context.Context, until time.Time)
	Trace       *arrival.TraceWriter
	Live        func(load.Operation)
	Began       func() // the load begins now
}

// Outcome is what came of a rehearsal.
type Outcome struct {
	Scenario *scenario.Scenario
	Load     *load.Result
	Audit    audit.Report
	Records  audit.Records
	Work     Work
}

// Work is what the servers did.
type Work struct {
	Attempts int
	Done     time.Duration // core time at speed 1
	Wasted   time.Duration // ... of attempts whose answer no client was served
}

// readyWithin is how long sidecars may take to be ready.
const readyWithin = 10 * time.Second

// Run plays the scenario. Where ctx ends early, the outcome covers what was sent until then and Load.Partial is set.
// An error means that there is no outcome; whatever was started has ended in any case.
func (r *Rehearsal) Run(ctx context.Context) (out *Outcome, err error) {
	s := r.Scenario
	schedule, err := arrival.NewSchedule(s)
	if err != nil {
		return nil, err
	}
	rec, zero := &audit.Recorder{}, time.Now()
	fleet, err := standin.Start(s, r.Network, rec, zero)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			fleet.Close()
		}
	}()
	targets, err := r.start(ctx, fleet)
	if err != nil {
		if r.Sidecars != nil {
			err = errors.Join(err, r.Sidecars.Stop())
		}
		return nil, err
	}
	if r.Began != nil {
		r.Began()
	}
	began := time.Since(zero)
	faults, endFaults := context.WithCancel(ctx)
	played := make(chan error, 1)
	go func() { played <- fleet.Run(faults) }()
	runner := &load.Runner{
		Scenario: s, Schedule: schedule, Targets: targets, Dial: r.Network.Dial, Zero: zero, Calls: rec, Trace: r.Trace,
		Wait: r.Wait, Connections: r.Connections, MaxLag: r.MaxLag, Live: r.Live,
	}
	result, err := runner.Run(ctx)
	endFaults()
	if e := <-played; e != nil && !errors.Is(e, context.Canceled) {
		err = errors.Join(err, e)
	}
	if r.Sidecars != nil {
		err = errors.Join(err, r.Sidecars.Stop())
	}
	fleet.Close()
	closed = true
	if err != nil {
		return nil, err
	}
	records := rec.Records()
	records.Began = began
	return &Outcome{
		Scenario: s, Load: result, Audit: audit.Judge(s, records), Records: records, Work: work(records),
	}, nil
}

// start starts the sidecars and waits until they are ready.
func (r *Rehearsal) start(ctx context.Context, fleet *standin.Fleet) (targets []string, err error) {
	if r.Sidecars == nil || r.Scenario.Sidecars.Count == 0 {
		for i := range r.Scenario.Servers {
			targets = append(targets, fleet.Addr(i))
		}
		return targets, nil
	}
	for i := range r.Scenario.Sidecars.Count {
		addr, err := r.Sidecars.Start(i, Config(r.Scenario, i, fleet))
		if err != nil {
			return nil, fmt.Errorf("sidecar %d: %w", i, err)
		}
		targets = append(targets, addr)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: r.Network.Dial, DisableKeepAlives: true}, Timeout: time.Second}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for i, addr := range targets {
		for !healthy(ctx, client, addr) {
			select {
			case <-ctx.Done():
				return nil, fmt.Errorf("sidecar %d at %s is not ready: %w", i, addr, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return targets, nil
}

func healthy(ctx context.Context, client *http.Client, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/_health", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Config is what the sidecar of a number is told, in the platform's form. It listens on a free port of loopback.
func Config(s *scenario.Scenario, number int, fleet *standin.Fleet) []byte {
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", number), "listen": "127.0.0.1:0", "discovery": fleet.Discovery(number),
		"seed":   fmt.Sprintf("%x", s.Seed+uint64(number)),
		"limits": map[string]any{"cores": s.Sidecars.Cores, "memory_mb": s.Sidecars.MemoryMB, "sockets": s.Sidecars.Sockets},
		"known":  json.RawMessage(fleet.Known(number)), "settings": s.Settings(number),
	})
	if err != nil {
		panic(err) // all of it was rendered before
	}
	return text
}

// work sums up what the servers did, and for whom.
func work(r audit.Records) (w Work) {
	type answer struct {
		trace string
		body  uint64
	}
	served := map[answer]bool{}
	for _, c := range r.Calls {
		if c.Result == audit.Served {
			served[answer{c.Trace, c.Body}] = true
		}
	}
	for _, a := range r.Attempts {
		w.Attempts++
		if a.WorkStarted == audit.Never {
			continue
		}
		w.Done += a.Work
		if !served[answer{a.Trace, a.Body}] {
			w.Wasted += a.Work
		}
	}
	return w
}
