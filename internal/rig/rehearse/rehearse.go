// Package rehearse runs a scenario: it starts the stand-in servers, their discovery and the sidecars under test, sends the load,
// injects the faults, and has the records audited. The caller provides the sidecars as a Starter: Processes, or InProcess on a network
// in memory.
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

// Network is the network of a rehearsal.
type Network interface {
	standin.Network
	load.Dialer
}

// Starter starts sidecars.
type Starter interface {
	// Start starts the sidecar with a number, with a configuration in the platform's form, and returns its address. It may return
	// before the sidecar is ready.
	Start(number int, config []byte) (addr string, err error)
	// Stop ends all sidecars as an operator does, and returns when they have ended. It is called once, also after a failed Start.
	Stop() error
}

// Rehearsal is one run. Run is called once.
type Rehearsal struct {
	Scenario *scenario.Scenario
	Network  Network
	Sidecars Starter // nil: clients send to the servers directly

	MaxConnections int                                        // of clients at once; 0: no limit
	MaxLag         time.Duration                              // of the generator, for a valid load; 0: the default of load.Runner
	WaitUntil      func(ctx context.Context, until time.Time) // waits for scheduled times; nil: the default of load.Runner
	Trace          *arrival.TraceWriter                       // records what is sent; nil: nothing is recorded
	OnOperation    func(load.Operation)                       // is called for each operation that has ended, from any goroutine; may be nil
	OnStart        func()                                     // is called when the load starts, from Run's goroutine; may be nil
}

// Outcome is the result of a rehearsal.
type Outcome struct {
	Scenario *scenario.Scenario
	Load     *load.Result
	Audit    audit.Report
	Records  audit.Records
	Work     Work
}

// Work is the work of the servers.
type Work struct {
	Attempts       int
	CoreTime       time.Duration // of all attempts, at speed 1
	WastedCoreTime time.Duration // of attempts whose answer no client received
}

// readyTimeout bounds the time until all sidecars are ready.
const readyTimeout = 10 * time.Second

// Run runs the scenario. If ctx ends early, the outcome covers what was sent until then and Load.Partial is set. On an error there is
// no outcome. Everything that was started has ended in any case.
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
	if r.OnStart != nil {
		r.OnStart()
	}
	began := time.Since(zero)
	faults, endFaults := context.WithCancel(ctx)
	played := make(chan error, 1)
	go func() { played <- fleet.Run(faults) }()
	runner := &load.Runner{
		Scenario: s, Schedule: schedule, Targets: targets, Dial: r.Network.Dial, Zero: zero, Calls: rec, Trace: r.Trace,
		Wait: r.WaitUntil, MaxConnections: r.MaxConnections, MaxLag: r.MaxLag, OnOperation: r.OnOperation,
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
		Scenario: s, Load: result, Audit: audit.Judge(s, records), Records: records, Work: summarizeWork(records),
	}, nil
}

// start starts the sidecars, waits until they are ready, and returns the addresses that the load is sent to.
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
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, addr := range targets {
		for !isHealthy(ctx, client, addr) {
			select {
			case <-ctx.Done():
				return nil, fmt.Errorf("sidecar %d at %s is not ready: %w", i, addr, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return targets, nil
}

// isHealthy reports whether the sidecar at an address is ready.
func isHealthy(ctx context.Context, client *http.Client, addr string) bool {
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

// Config is the configuration of the sidecar with a number, in the platform's form. It listens on a free port of loopback.
func Config(s *scenario.Scenario, number int, fleet *standin.Fleet) []byte {
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", number), "listen": "127.0.0.1:0", "discovery": fleet.Discovery(number),
		"seed":   fmt.Sprintf("%x", s.Seed+uint64(number)),
		"limits": map[string]any{"cores": s.Sidecars.Cores, "memory_mb": s.Sidecars.MemoryMB, "sockets": s.Sidecars.Sockets},
		"known":  json.RawMessage(fleet.Known(number)), "settings": s.Settings(number),
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return text
}

// summarizeWork sums up the servers' work, and the part of it whose answers no client received.
func summarizeWork(r audit.Records) (w Work) {
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
		w.CoreTime += a.Work
		if !served[answer{a.Trace, a.Body}] {
			w.WastedCoreTime += a.Work
		}
	}
	return w
}
