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

// reservedDescriptors is the number of descriptors that a rehearsal reserves for itself; the rest is for clients' connections.
const reservedDescriptors = 64

// runOptions holds the flags that the subcommands rehearse and load share. The subcommand standin has only the seed.
type runOptions struct {
	output, htmlPath, tracePath string
	seed                        uint64
	maxLag                      time.Duration
	connections                 int
}

func (o *runOptions) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&o.output, "output", outputText, "format of the report: text or json")
	f.StringVar(&o.htmlPath, "html", "", "also write the report as a self-contained page to `FILE`")
	f.StringVar(&o.tracePath, "record", "", "also record the arrivals as a trace to `FILE`")
	f.Uint64Var(&o.seed, "seed", 0, "seed of all random draws, in place of the scenario's")
	f.DurationVar(&o.maxLag, "max-lag", load.DefaultMaxLag, "largest 99th percentile of the lag behind the schedule with which a run is valid")
	f.IntVar(&o.connections, "connections", 0, "clients' concurrent connections (0: as many as the limit of descriptors allows)")
}

func (o *runOptions) check() error {
	if err := checkOutput(o.output, outputText, outputJSON); err != nil {
		return err
	}
	switch {
	case o.maxLag <= 0:
		return fmt.Errorf("--max-lag: %v must be over 0", o.maxLag)
	case o.connections < 0:
		return fmt.Errorf("--connections: %d must not be negative", o.connections)
	}
	return nil
}

// readScenario reads the scenario file called name if the name has a slash or a dot, or else a scenario of the library, and checks its
// traces.
func (o *runOptions) readScenario(name string) (s *scenario.Scenario, err error) {
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
	for _, a := range s.Arrivals { // an invalid trace is an error before anything starts
		if a.Shape == scenario.Trace {
			if err := arrival.CheckTrace(a.File, s); err != nil {
				return nil, runError{err}
			}
		}
	}
	return s, nil
}

// clientConnections returns the number of connections that clients may have open. reserved is the number of descriptors that other
// connections and listeners of the run need.
func (o *runOptions) clientConnections(reserved int) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, runError{fmt.Errorf("limit of descriptors: %w", err)}
	}
	free := int(min(limit.Cur, 1<<30)) - reservedDescriptors - reserved
	if free < 1 {
		return 0, runError{fmt.Errorf("%d descriptors are too few for this scenario; raise the limit (ulimit -n)", limit.Cur)}
	}
	if o.connections > 0 {
		return min(o.connections, free), nil
	}
	return free, nil
}

// generator holds what a run of rehearse or load needs to send its load, and measures the processor time of the run.
type generator struct {
	connections int                  // the number that clients may have open
	trace       *arrival.TraceWriter // writes the file of --record; nil if there is none
	traceFile   *os.File             // nil if trace is nil
	cpuBefore   time.Duration        // the processor time of this process before the run
}

// newGenerator opens the trace of --record and computes the number of connections. reserved is the number of descriptors that the run needs
// besides those of clients' connections. The caller must call close after the last request was recorded.
func (o *runOptions) newGenerator(reserved int) (*generator, error) {
	connections, err := o.clientConnections(reserved)
	if err != nil {
		return nil, err
	}
	g := &generator{connections: connections, cpuBefore: ownCPUTime()}
	if o.tracePath == "" {
		return g, nil
	}
	if g.traceFile, err = os.Create(o.tracePath); err != nil {
		return nil, runError{err}
	}
	g.trace = arrival.NewTraceWriter(g.traceFile)
	return g, nil
}

// close flushes and closes the trace, if there is one.
func (g *generator) close() error {
	if g.trace == nil {
		return nil
	}
	return errors.Join(g.trace.Flush(), g.traceFile.Close())
}

// cpuSeconds returns the processor time of this process since newGenerator.
func (g *generator) cpuSeconds() float64 { return (ownCPUTime() - g.cpuBefore).Seconds() }

// writeReport writes the report in the format of --output, and to the page of --html. It returns errNegativeResult if the report is not OK.
func (o *runOptions) writeReport(cmd *cobra.Command, r *rehearse.Report) error {
	if o.htmlPath != "" {
		f, err := os.Create(o.htmlPath)
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
	if o.output == outputJSON {
		write = r.WriteJSON
	}
	if err := write(cmd.OutOrStdout()); err != nil {
		return runError{err}
	}
	if !r.OK() {
		return errNegativeResult
	}
	return nil
}

// ownCPUTime returns the processor time of this process so far, or 0 if it cannot be read.
func ownCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// progressLine shows the progress of a run on a terminal, in one line that it rewrites at each progressInterval.
type progressLine struct {
	writer io.Writer

	mu      sync.Mutex
	began   time.Time
	counts  [5]int // operations by result since the line was last written
	slowest time.Duration
	stop    chan struct{}
	done    chan struct{}
}

const progressInterval = 500 * time.Millisecond

// newProgressLine returns nil if the writer is not a terminal.
func newProgressLine(w io.Writer) *progressLine {
	if f, ok := w.(*os.File); !ok || !isTerminal(f) {
		return nil
	}
	return &progressLine{writer: w, stop: make(chan struct{}), done: make(chan struct{})}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// add counts an operation. It may be called from several goroutines.
func (l *progressLine) add(op load.Operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[op.Result]++
	l.slowest = max(l.slowest, op.Latency)
}

// run rewrites the line at each progressInterval until end is called.
func (l *progressLine) run() {
	defer close(l.done)
	l.mu.Lock()
	l.began = time.Now()
	l.mu.Unlock()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			fmt.Fprint(l.writer, "\r\033[K")
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		c := l.counts
		intervalsPerSecond := float64(time.Second) / float64(progressInterval)
		fmt.Fprintf(l.writer, "\r\033[K%5.1f s  %5.0f/s served  %4.0f refused  %4.0f failed  %4.0f lost  slowest %v",
			time.Since(l.began).Seconds(), float64(c[audit.Served])*intervalsPerSecond, float64(c[audit.Refused])*intervalsPerSecond,
			float64(c[audit.Failed])*intervalsPerSecond, float64(c[audit.Lost]+c[audit.Unreached])*intervalsPerSecond, l.slowest.Round(time.Millisecond))
		l.counts, l.slowest = [5]int{}, 0
		l.mu.Unlock()
	}
}

// end stops run, waits until it has removed the line, and returns.
func (l *progressLine) end() {
	close(l.stop)
	<-l.done
}
