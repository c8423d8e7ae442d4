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

// slack is how much later than its deadline an answer may be.
const slack = 50 * time.Millisecond

// Result is what came of one run.
type Result struct {
	Depth   int                 `json:"depth"` // sidecars; without them, levels of servers
	Direct  bool                `json:"direct"`
	Fail    float64             `json:"fail"`
	Rate    float64             `json:"rate_s"`
	Pass    Pass                `json:"pass"`
	Classes []Class             `json:"classes"`
	Levels  []map[string]Counts `json:"levels"`          // by class, from the top
	Usage   []usage.Usage       `json:"usage,omitempty"` // of each sidecar from the top; CPU is that of the load
	Took    time.Duration       `json:"took_ns"`
	Partial bool                `json:"partial,omitempty"`
	Invalid []string            `json:"invalid,omitempty"` // why the times are not what they seem
	Extras  int                 `json:"extras"`            // answers that nobody asked for
	// Repeats are unsafe requests that one sidecar sent to a server again. Each server that took one may have run it.
	Repeats int `json:"unsafe_repeats"`
}

// Class is what came of the calls of one class at the top.
type Class struct {
	Name     string  `json:"name"`
	Calls    int     `json:"calls"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Late     int     `json:"late"` // answered, but later than the deadline and some slack: on a busy machine, or a fault
	Lost     int     `json:"lost"` // no answer at all in the deadline and 150 ms, or none could be asked for
	Attempts int     `json:"leaf_attempts"`
	Most     int     `json:"most_leaf_attempts"` // for one call
	PerCall  float64 `json:"leaf_attempts_call"`
	// Latencies from when a call was due to its final answer, whatever that was, in microseconds.
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
}

// scenario is the load, and what the sidecars are told of classes and limits.
func (c *Config) scenario() (*scenario.Scenario, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "name chain\nseed %d\nlength %v\nsidecars 1\nfleet %d cores=4\n", c.Seed, c.Length, c.Servers)
	for _, class := range []struct {
		name, effect string
		share        float64
	}{{safeClass, "safe", 1 - c.Unsafe}, {unsafeClass, "unsafe", c.Unsafe}} {
		if class.share > 0 {
			fmt.Fprintf(&b, "class %s share=%g effect=%s aim=%v deadline=%v late=0.5\n",
				class.name, 100*class.share, class.effect, c.Aim, c.Deadline)
		}
	}
	fmt.Fprintf(&b, "limits reports=no probes=no idle=%v\narrive constant %g/s\n", idle, c.Rate)
	return scenario.Parse("chain", strings.NewReader(b.String()))
}

// Run starts a chain, sends its load and ends it. Where ctx ends early the result is of what was sent until then.
// An error says that there is no result; whatever was started has ended in any case.
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
	took := make([]*hdrhistogram.Histogram, len(s.Classes))
	for i := range took {
		took[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	calls := &audit.Recorder{}
	runner := &load.Runner{
		Calls: calls, Scenario: s, Targets: c.top, Dial: (&net.Dialer{KeepAlive: -1}).DialContext,
		Zero: time.Now(), Wait: load.WaitPrecisely,
		Live: func(op load.Operation) {
			mu.Lock()
			defer mu.Unlock()
			_ = took[op.Class].RecordValue(min(max(op.Latency.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
		},
	}
	before := c.taken()
	watched := c.watch()
	result, err := runner.Run(ctx)
	taken := watched()
	if err = errors.Join(err, c.close()); err != nil {
		return nil, err
	}
	for i := range taken {
		taken[i].CPU -= before[i].CPU
	}
	return c.result(result, calls.Records().Calls, took, taken), nil
}

// result puts together what all sides have seen. Nothing runs any more.
func (c *chain) result(
	result *load.Result, calls []audit.Call, took []*hdrhistogram.Histogram, taken []usage.Usage,
) *Result {
	cfg := c.cfg
	late := map[string]int{}
	for i := range calls {
		if call := &calls[i]; call.Result == audit.Lost && call.Answered != audit.Never {
			late[call.Class]++
		}
	}
	r := &Result{
		Depth: cfg.Depth, Direct: cfg.Program == "", Fail: cfg.Fail, Rate: cfg.Rate, Pass: cfg.Pass, Usage: taken,
		Took: result.Duration, Partial: result.Partial, Invalid: result.Invalid, Extras: result.Extras,
	}
	leaf := c.levels[len(c.levels)-1]
	for i, in := range result.Classes[1:] {
		n := in.Counts
		out := Class{
			Name: in.Name, Calls: n.All(), Served: n.Served, Refused: n.Refused, Failed: n.Failed, Late: late[in.Name],
			Lost:     n.Lost + n.Unreached - late[in.Name],
			Attempts: leaf.calls[in.Name].Attempts,
			P50:      took[i].ValueAtQuantile(50), P99: took[i].ValueAtQuantile(99), Max: took[i].Max(),
		}
		if out.Calls > 0 {
			out.PerCall = float64(out.Attempts) / float64(out.Calls)
		}
		r.Classes = append(r.Classes, out)
	}
	for of, n := range leaf.tried {
		for i := range r.Classes {
			if r.Classes[i].Name == of.class {
				r.Classes[i].Most = max(r.Classes[i].Most, n)
			}
		}
	}
	top := map[string]Counts{}
	for _, in := range r.Classes {
		top[in.Name] = Counts{
			Calls: in.Calls, Served: in.Served, Refused: in.Refused, Failed: in.Failed, Broken: in.Late + in.Lost,
		}
	}
	for _, l := range c.levels {
		r.Repeats += l.repeat
		below := map[string]Counts{}
		for name, n := range l.calls {
			is := top[name]
			is.Attempts = n.Attempts
			if top[name] = is; is.Calls == 0 {
				delete(top, name)
			}
			made := *n
			made.Attempts = 0 // it counts those to this level, not to the one below
			below[name] = made
		}
		r.Levels = append(r.Levels, top)
		top = below
	}
	return r
}

// taken is what the sidecars have taken by now, from the top.
func (c *chain) taken() (all []usage.Usage) {
	for i := len(c.sidecars) - 1; i >= 0; i-- {
		u, _ := usage.Of(c.sidecars[i].cmd.Process.Pid) // one that has ended has taken nothing more
		all = append(all, u)
	}
	return all
}

// sampleEvery is how often the sidecars' processes are looked at.
const sampleEvery = 250 * time.Millisecond

// watch looks at the sidecars now and then until its result is called, which gives the last look, with the most
// descriptors and memory of all.
func (c *chain) watch() func() []usage.Usage {
	stop, done := make(chan struct{}), make(chan []usage.Usage)
	go func() {
		ticker := time.NewTicker(sampleEvery)
		defer ticker.Stop()
		most := c.taken()
		for {
			over := false
			select {
			case <-stop:
				over = true
			case <-ticker.C:
			}
			for i, u := range c.taken() {
				u.Memory, u.Descriptors = max(u.Memory, most[i].Memory), max(u.Descriptors, most[i].Descriptors)
				most[i] = u
			}
			if over {
				done <- most
				return
			}
		}
	}()
	return func() []usage.Usage {
		close(stop)
		return <-done
	}
}
