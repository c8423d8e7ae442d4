package routerscale

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/capacity"
	processusage "petrelhook/internal/rig/usage"
)

// Options say what is run.
type Options struct {
	Router   string // the program petrelrouter
	Core     int
	Sizes    []int // sidecars, the core included
	Runs     int
	Steady   time.Duration // of each window
	Target   int           // sidecars, servers and tenants at the size that is worked out
	Servers  int
	Tenants  int
	Draws    int // of quotas a second for each sidecar
	Changes  int
	Progress func(string)
}

func (o *Options) servers(size int) int { return o.Servers * size / o.Target }
func (o *Options) tenants(size int) int { return o.Tenants * size / o.Target }
func (o *Options) routes(size int) int  { return 2 * size }

// The roles, workloads and metrics of the points.
const (
	RolePrimary = "primary"
	RoleControl = "control sidecar"
	RoleSidecar = "sidecar"
	AtRest      = "at rest"
	Heartbeats  = "heartbeats"
	Quotas      = "quota draws"
	Changing    = "changes"
	Processor   = "cpu_us_s"
	BytesOut    = "bytes_out_s"
	Memory      = "memory_bytes"
	Restart     = "all sidecars restarted"
	PrimaryLost = "primary lost"
	InForce     = "in_force_us"
	ReadyAfter  = "ready_us"
	OrderAfter  = "order_us"
	settle      = 2 * time.Second
	changePause = 300 * time.Millisecond
)

// mostMemory is when the collector works harder: hundreds of hollow sidecars hold some gigabytes, and others have to live beside them.
const mostMemory = 8 << 30

// Run measures all sizes, until it is done or the context ends.
func Run(ctx context.Context, o Options) ([]capacity.Point, error) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(mostMemory))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(max(1, runtime.NumCPU()/2))) // the core has processors of its own
	var points []capacity.Point
	for _, size := range o.Sizes {
		for run := 1; run <= o.Runs; run++ {
			if o.Progress != nil {
				o.Progress(fmt.Sprintf("%d sidecars, run %d", size, run))
			}
			more, err := one(ctx, o, size, run)
			if err != nil {
				return points, fmt.Errorf("%d sidecars, run %d: %w", size, run, err)
			}
			points = append(points, more...)
		}
	}
	return points, nil
}

// usage is what the processes of a role have used so far.
type usage struct {
	cpu   []float64 // microseconds, of each router of the core
	sent  []float64
	rss   []float64
	first int // the primary's place
	own   float64
	out   float64 // bytes of all hollow sidecars
	at    time.Time
}

func (m *members) usage() (u usage, err error) {
	u.first = -1
	for i, cmd := range m.core {
		used, err := processusage.Of(cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		s, err := m.status(i)
		if err != nil {
			return u, err
		}
		if s.Primary {
			u.first = i
		}
		u.cpu = append(u.cpu, float64(used.CPU.Microseconds()))
		u.rss = append(u.rss, float64(used.Memory))
		u.sent = append(u.sent, float64(s.SentBytes))
	}
	for _, n := range m.hollow {
		u.out += float64(n.SentBytes())
	}
	var own syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &own); err != nil {
		return u, err
	}
	u.own = float64(own.Utime.Nano()+own.Stime.Nano()) / 1e3
	u.at = time.Now()
	return u, nil
}

// window measures a workload for a time. Where hollow servers are running they share the process of the hollow sidecars, so
// that its processor time is not told as the sidecars'.
func (m *members) window(workload string, size, run int, withServers bool, during func()) ([]capacity.Point, error) {
	before, err := m.usage()
	if err != nil {
		return nil, err
	}
	if during != nil {
		during()
	} else {
		time.Sleep(m.options.Steady)
	}
	after, err := m.usage()
	if err != nil {
		return nil, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	var points []capacity.Point
	add := func(role, metric string, value float64) {
		points = append(points, capacity.Point{Workload: workload, Role: role, Metric: metric, Size: size, Run: run, Value: value})
	}
	var cpu, sent, rss float64
	for i := range after.cpu {
		c, b := (after.cpu[i]-before.cpu[i])/seconds, (after.sent[i]-before.sent[i])/seconds
		if i == after.first {
			add(RolePrimary, Processor, c)
			add(RolePrimary, BytesOut, b)
			add(RolePrimary, Memory, after.rss[i])
			continue
		}
		cpu, sent, rss = cpu+c, sent+b, rss+after.rss[i]
	}
	others := float64(len(after.cpu) - 1)
	add(RoleControl, Processor, cpu/others)
	add(RoleControl, BytesOut, sent/others)
	add(RoleControl, Memory, rss/others)
	hollow := float64(len(m.hollow))
	add(RoleSidecar, BytesOut, (after.out-before.out)/seconds/hollow)
	if !withServers {
		add(RoleSidecar, Processor, (after.own-before.own)/seconds/hollow)
	}
	return points, nil
}

func one(ctx context.Context, o Options, size, run int) (points []capacity.Point, err error) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	m, err := start(ctx, o, size)
	if err != nil {
		return nil, err
	}
	defer m.end()
	time.Sleep(settle)
	rest, err := m.window(AtRest, size, run, false, nil)
	if err != nil {
		return nil, err
	}
	m.beat(o.servers(size))
	if err := m.until("all servers are known to all", m.allKnow(o.servers(size))); err != nil {
		return nil, err
	}
	if err := m.until("the list of servers stays as it is", m.unchanged()); err != nil {
		return nil, err
	}
	beats, err := m.window(Heartbeats, size, run, true, nil)
	if err != nil {
		return nil, err
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	grown := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
	points = append(rest, beats...)
	points = append(points, capacity.Point{Workload: Heartbeats, Role: RoleSidecar, Metric: Memory, Size: size, Run: run, Value: grown / float64(len(m.hollow))})
	draws, err := m.window(Quotas, size, run, true, m.draw)
	if err != nil {
		return nil, err
	}
	points = append(points, draws...)
	changes, err := m.change(size, run)
	if err != nil {
		return nil, err
	}
	moments, err := m.moments(size, run)
	return append(append(points, changes...), moments...), err
}

// allKnow looks whether all hollow sidecars know as many servers.
func (m *members) allKnow(servers int) func() bool {
	return func() bool {
		for _, n := range m.hollow {
			if n.Servers() < servers {
				return false
			}
		}
		return true
	}
}

// unchanged looks whether the list of servers has been the same for some time.
func (m *members) unchanged() func() bool {
	last, since := uint64(0), time.Now()
	return func() bool {
		if now := m.hollow[0].ServerChanges(); now != last {
			last, since = now, time.Now()
		}
		return time.Since(since) > settle
	}
}

// draw has each hollow sidecar draw from tenants' limits at a rate.
func (m *members) draw() {
	ctx, cancel := context.WithTimeout(m.ctx, m.options.Steady)
	defer cancel()
	var group sync.WaitGroup
	pause := time.Second / time.Duration(m.options.Draws)
	for i, n := range m.hollow {
		group.Go(func() {
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for k := 0; ; k++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					n.Acquire(ctx, fmt.Sprintf("t%d", (i*7+k)%max(1, m.options.tenants(len(m.hollow)))), 1000, 0)
				}
			}
		})
	}
	group.Wait()
}

// change makes changes of one route and measures from each acknowledgement to the last sidecar.
func (m *members) change(size, run int) ([]capacity.Point, error) {
	var took []float64
	for i := range m.options.Changes {
		body := fmt.Sprintf(`{"Generation":%d,"Upsert":{"Routes":[%s]}}`, i+2, route(i, 1000+i))
		if err := m.order("/-/config/update", i+1, body); err != nil {
			return nil, err
		}
		acknowledged := time.Now()
		if err := m.until("a change is in force", func() bool { return m.behind(uint64(i+2)) == 0 }); err != nil {
			return nil, err
		}
		took = append(took, float64(time.Since(acknowledged).Microseconds()))
		time.Sleep(changePause)
	}
	slices.Sort(took)
	return []capacity.Point{{Workload: Changing, Role: RoleSidecar, Metric: InForce, Size: size, Run: run, Value: took[len(took)-1]}}, nil
}
