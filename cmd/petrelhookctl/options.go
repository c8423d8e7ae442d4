package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/arrival"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/scenario"
)

// reserveFiles is how many descriptors a rehearsal keeps for itself; the rest is for connections of clients.
const reserveFiles = 64

// options are the flags that rehearse and load share.
type options struct {
	output, page, record string
	seed                 uint64
	maxLag               time.Duration
	connections          int
}

func (o *options) flags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&o.output, "output", "text", "form of the report: text or json")
	f.StringVar(&o.page, "html", "", "also write the report as a self-contained page to `FILE`")
	f.StringVar(&o.record, "record", "", "also record the arrivals as a trace to `FILE`")
	f.Uint64Var(&o.seed, "seed", 0, "draw with this seed in place of the scenario's")
	f.DurationVar(&o.maxLag, "max-lag", load.DefaultMaxLag, "99th percentile of the lag behind the schedule over which the run is not valid")
	f.IntVar(&o.connections, "connections", 0, "connections of clients at once (0: what the limit of descriptors leaves)")
}

func (o *options) check() error {
	switch {
	case o.output != "text" && o.output != "json":
		return fmt.Errorf("--output: %q is neither text nor json", o.output)
	case o.maxLag <= 0:
		return fmt.Errorf("--max-lag: %v must be over 0", o.maxLag)
	case o.connections < 0:
		return fmt.Errorf("--connections: %d must not be negative", o.connections)
	}
	return nil
}

// scenario reads a scenario that comes with the program, or a file: what has a slash or a dot is a file.
func (o *options) scenario(name string) (s *scenario.Scenario, err error) {
	if strings.ContainsAny(name, "/.") {
		s, err = scenario.Read(name)
	} else {
		s, err = scenario.FromLibrary(name)
	}
	if err != nil {
		return nil, runError{err}
	}
	if o.seed != 0 {
		s.Seed = o.seed
	}
	for _, a := range s.Arrivals { // a bad trace is found before anything starts
		if a.Shape == scenario.Trace {
			if err := arrival.CheckTrace(a.File, s); err != nil {
				return nil, runError{err}
			}
		}
	}
	return s, nil
}

// room is how many connections the clients may have open, with so many descriptors needed elsewhere.
func (o *options) room(others int) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, runError{fmt.Errorf("limit of descriptors: %w", err)}
	}
	free := int(min(limit.Cur, 1<<30)) - reserveFiles - others
	if free < 1 {
		return 0, runError{fmt.Errorf("%d descriptors are too few for this scenario; raise the limit (ulimit -n)", limit.Cur)}
	}
	if o.connections > 0 {
		return min(o.connections, free), nil
	}
	return free, nil
}

// recorder opens the file of --record, if it was given. The caller calls end when the last request was recorded.
func (o *options) recorder() (w *arrival.TraceWriter, end func() error, err error) {
	if o.record == "" {
		return nil, func() error { return nil }, nil
	}
	f, err := os.Create(o.record)
	if err != nil {
		return nil, nil, runError{err}
	}
	w = arrival.NewTraceWriter(f)
	return w, func() error {
		if err := w.Flush(); err != nil {
			return errors.Join(err, f.Close())
		}
		return f.Close()
	}, nil
}

// show writes the report, and says whether it is good.
func (o *options) show(cmd *cobra.Command, r *rehearse.Report) error {
	if o.page != "" {
		f, err := os.Create(o.page)
		if err != nil {
			return runError{err}
		}
		if err := r.WritePage(f); err != nil {
			return runError{errors.Join(err, f.Close())}
		}
		if err := f.Close(); err != nil {
			return runError{err}
		}
	}
	write := r.WriteText
	if o.output == "json" {
		write = r.WriteJSON
	}
	if err := write(cmd.OutOrStdout()); err != nil {
		return runError{err}
	}
	if !r.OK() {
		return errBad
	}
	return nil
}

// cpu is what this process has taken so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// live shows how a run goes, on a terminal only.
type live struct {
	w io.Writer

	mu     sync.Mutex
	began  time.Time
	counts [5]int // by result, since the last line
	worst  time.Duration
	stop   chan struct{}
	done   chan struct{}
}

const liveEvery = 500 * time.Millisecond

func newLive(w io.Writer) *live {
	if f, ok := w.(*os.File); !ok || !isTerminal(f) {
		return nil
	}
	return &live{w: w, stop: make(chan struct{}), done: make(chan struct{})}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (l *live) add(op load.Operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[op.Result]++
	l.worst = max(l.worst, op.Latency)
}

// run shows a line now and then until end is called.
func (l *live) run() {
	defer close(l.done)
	l.mu.Lock()
	l.began = time.Now()
	l.mu.Unlock()
	ticker := time.NewTicker(liveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			fmt.Fprint(l.w, "\r\033[K")
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		c := l.counts
		per := float64(time.Second) / float64(liveEvery)
		fmt.Fprintf(l.w, "\r\033[K%5.1f s  %5.0f/s served  %4.0f refused  %4.0f failed  %4.0f lost  slowest %v",
			time.Since(l.began).Seconds(), float64(c[audit.Served])*per, float64(c[audit.Refused])*per,
			float64(c[audit.Failed])*per, float64(c[audit.Lost]+c[audit.Unreached])*per, l.worst.Round(time.Millisecond))
		l.counts, l.worst = [5]int{}, 0
		l.mu.Unlock()
	}
}

func (l *live) end() {
	close(l.stop)
	<-l.done
}
