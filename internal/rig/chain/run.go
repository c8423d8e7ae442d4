package chain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/scenario"
	"petrelhook/internal/rig/usage"
)

// The classes of calls.
const (
	safeClass   = "look"
	unsafeClass = "once"
)

// answerSlack is the time after its deadline within which an answer still counts.
const answerSlack = 50 * time.Millisecond

// Result is the result of one run.
type Result struct {
	Depth             int                 `json:"depth"` // sidecars; without them, levels of servers
	Direct            bool                `json:"direct"`
	FailFraction      float64             `json:"fail"`
	Rate              float64             `json:"rate_s"`
	PassMode          PassMode            `json:"pass"`
	Classes           []Class             `json:"classes"`
	Levels            []map[string]Counts `json:"levels"`          // by class, from the top
	Usage             []usage.Usage       `json:"usage,omitempty"` // of each sidecar from the top; CPU is that during the load
	Duration          time.Duration       `json:"took_ns"`
	Partial           bool                `json:"partial,omitempty"`
	Invalid           []string            `json:"invalid,omitempty"` // reasons why the times are not valid
	UnexpectedAnswers int                 `json:"extras"`            // answers without a request
	// UnsafeRepeats are unsafe requests that one sidecar sent to a server more than once. Each server may have run its request.
	UnsafeRepeats int `json:"unsafe_repeats"`
}

// Class is the result of the client's calls of one class.
type Class struct {
	Name            string  `json:"name"`
	Calls           int     `json:"calls"`
	Served          int     `json:"served"`
	Refused         int     `json:"refused"`
	Failed          int     `json:"failed"`
	Late            int     `json:"late"` // answered, but later than the deadline and answerSlack: a busy machine, or a fault
	Lost            int     `json:"lost"` // without an answer within the deadline and 150 ms, or not sent
	Attempts        int     `json:"leaf_attempts"`
	MaxAttempts     int     `json:"most_leaf_attempts"` // for one call
	AttemptsPerCall float64 `json:"leaf_attempts_call"`
	// Latencies from the scheduled time of a call to its final answer of any kind, in microseconds.
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
}

// scenario describes the load, and the sidecars' settings of classes and limits.
func (c *Config) scenario() (*scenario.Scenario, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "name chain\nseed %d\nlength %v\nsidecars 1\nfleet %d cores=4\n", c.Seed, c.Length, c.Servers)
	for _, class := range []struct {
		name, effect string
		share        float64
	}{{safeClass, "safe", 1 - c.UnsafeFraction}, {unsafeClass, "unsafe", c.UnsafeFraction}} {
		if class.share > 0 {
			fmt.Fprintf(&b, "class %s share=%g effect=%s aim=%v deadline=%v late=0.5\n",
				class.name, 100*class.share, class.effect, c.LatencyTarget, c.Deadline)
		}
	}
	fmt.Fprintf(&b, "limits reports=no probes=no idle=%v\narrive constant %g/s\n", idleTimeout, c.Rate)
	return scenario.Parse("chain", strings.NewReader(b.String()))
}

// Run starts a chain, sends its load and ends it. If ctx ends early, the result is of what was sent until then. On an error there is no
// result. Everything that was started has ended in any case.
func Run(ctx context.Context, cfg Config) (r *Result, err error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s, err := cfg.scenario()
	if err != nil {
		return nil, err
	}
	c, err := start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	latencies := make([]*hdrhistogram.Histogram, len(s.Classes))
	for i := range latencies {
		latencies[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	calls := &audit.Recorder{}
	runner := &load.Runner{
		Calls: calls, Scenario: s, Targets: c.entryAddrs, Dial: (&net.Dialer{KeepAlive: -1}).DialContext,
		Zero: time.Now(), Wait: load.WaitPrecisely,
		OnOperation: func(op load.Operation) {
			mu.Lock()
			defer mu.Unlock()
			_ = latencies[op.Class].RecordValue(min(max(op.Latency.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
		},
	}
	before := c.usages()
	stopSampling := c.sampleUsages()
	result, err := runner.Run(ctx)
	usages := stopSampling()
	if err = errors.Join(err, c.close()); err != nil {
		return nil, err
	}
	for i := range usages {
		usages[i].CPU -= before[i].CPU
	}
	return c.result(result, calls.Records().Calls, latencies, usages), nil
}

// result combines the records of all sides. The chain has ended.
func (c *chain) result(
	result *load.Result, calls []audit.Call, latencies []*hdrhistogram.Histogram, usages []usage.Usage,
) *Result {
	cfg := c.cfg
	late := map[string]int{}
	for i := range calls {
		if call := &calls[i]; call.Result == audit.Lost && call.Answered != audit.Never {
			late[call.Class]++
		}
	}
	r := &Result{
		Depth: cfg.Depth, Direct: cfg.Program == "", FailFraction: cfg.FailFraction, Rate: cfg.Rate, PassMode: cfg.PassMode, Usage: usages,
		Duration: result.Duration, Partial: result.Partial, Invalid: result.Invalid, UnexpectedAnswers: result.UnexpectedAnswers,
	}
	leaf := c.levels[len(c.levels)-1]
	for i, in := range result.Classes[1:] {
		n := in.Counts
		out := Class{
			Name: in.Name, Calls: n.All(), Served: n.Served, Refused: n.Refused, Failed: n.Failed, Late: late[in.Name],
			Lost:     n.Lost + n.Unreached - late[in.Name],
			Attempts: leaf.calls[in.Name].Attempts,
			P50:      latencies[i].ValueAtQuantile(50), P99: latencies[i].ValueAtQuantile(99), Max: latencies[i].Max(),
		}
		if out.Calls > 0 {
			out.AttemptsPerCall = float64(out.Attempts) / float64(out.Calls)
		}
		r.Classes = append(r.Classes, out)
	}
	for call, attempts := range leaf.arrivalsByCall {
		for i := range r.Classes {
			if r.Classes[i].Name == call.class {
				r.Classes[i].MaxAttempts = max(r.Classes[i].MaxAttempts, attempts)
			}
		}
	}
	c.addLevels(r)
	return r
}

// addLevels adds the counts of all levels. The counts at a level are of the calls that the level above sent; the client's are at the top.
func (c *chain) addLevels(r *Result) {
	sent := map[string]Counts{} // by class, to the present level
	for _, class := range r.Classes {
		sent[class.Name] = Counts{
			Calls: class.Calls, Served: class.Served, Refused: class.Refused, Failed: class.Failed, Broken: class.Late + class.Lost,
		}
	}
	for _, l := range c.levels {
		r.UnsafeRepeats += l.unsafeRepeats
		sentBelow := map[string]Counts{}
		for class, counts := range l.calls {
			present := sent[class]
			present.Attempts = counts.Attempts
			if sent[class] = present; present.Calls == 0 {
				delete(sent, class)
			}
			below := *counts
			below.Attempts = 0 // those counted here arrived at this level, not at the one below
			sentBelow[class] = below
		}
		r.Levels = append(r.Levels, sent)
		sent = sentBelow
	}
}

// usages are the present usages of the sidecars, from the top.
func (c *chain) usages() (all []usage.Usage) {
	for i := len(c.sidecars) - 1; i >= 0; i-- {
		u, _ := usage.Of(c.sidecars[i].cmd.Process.Pid) // a process that has ended has none
		all = append(all, u)
	}
	return all
}

// sampleInterval is the interval at which the sidecars' usages are read.
const sampleInterval = 250 * time.Millisecond

// sampleUsages samples the sidecars' usages, in a goroutine, until the returned function is called, which returns the last sample with the
// largest memory and descriptors of all samples.
func (c *chain) sampleUsages() (stop func() []usage.Usage) {
	stopping, result := make(chan struct{}), make(chan []usage.Usage)
	go func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		highest := c.usages()
		for stopped := false; !stopped; {
			select {
			case <-stopping:
				stopped = true
			case <-ticker.C:
			}
			for i, u := range c.usages() {
				u.Memory, u.Descriptors = max(u.Memory, highest[i].Memory), max(u.Descriptors, highest[i].Descriptors)
				highest[i] = u
			}
		}
		result <- highest
	}()
	return func() []usage.Usage {
		close(stopping)
		return <-result
	}
}
