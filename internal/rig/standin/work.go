package standin

import (
	"context"
	"sync"
	"time"

	"petrelhook/internal/rig/scenario"
)

// cores are the CPU cores of one process. Requests beyond them wait in the order in which they arrived. It is safe for concurrent use.
type cores struct {
	def       scenario.Server
	slowStart scenario.SlowStart
	start     time.Time

	mu          sync.Mutex
	busy        int
	waiting     []chan struct{}
	slowdown    float64
	stalls      int           // active stalls
	stalled     time.Duration // total time of the stalls that have ended
	stalledAt   time.Time     // when the present stall began
	resumed     chan struct{} // closed when no stall is active any more
	used        time.Duration // core time since the last report
	served      int
	periodStart time.Time  // of the present report period
	reported    [2]float64 // by scenario.ReportFields
}

// reportEvery is the period of load reports.
const reportEvery = 500 * time.Millisecond

// newCores are the idle cores of a process that has just started.
func newCores(def scenario.Server, slowStart scenario.SlowStart) *cores {
	now := time.Now()
	return &cores{def: def, slowStart: slowStart, start: now, slowdown: 1, periodStart: now, resumed: make(chan struct{})}
}

// acquire reserves a core, or a position in the queue for one; ready is closed when it has the core. ok is false if the queue is full.
func (c *cores) acquire() (ready chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ready = make(chan struct{})
	switch {
	case c.busy < c.def.Cores:
		c.busy++
		close(ready)
	case len(c.waiting) < c.def.Queue:
		c.waiting = append(c.waiting, ready)
	default:
		return nil, false
	}
	return ready, true
}

// release frees a core, or a position in the queue.
func (c *cores) release(ready chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range c.waiting {
		if w == ready {
			c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
			return
		}
	}
	if len(c.waiting) > 0 {
		close(c.waiting[0])
		c.waiting = c.waiting[1:]
		return
	}
	c.busy--
}

// work occupies a core for the time that work of a duration at speed 1 takes here. It returns early if ctx ends.
func (c *cores) work(ctx context.Context, work time.Duration) {
	c.mu.Lock()
	took := time.Duration(float64(work) * c.slowdown / (c.def.Speed * c.slowStart.Capacity(time.Since(c.start))))
	c.mu.Unlock()
	c.sleep(ctx, took)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used += took
}

// sleep waits for a duration of process time, which stands still while the server stalls, or until ctx ends.
func (c *cores) sleep(ctx context.Context, d time.Duration) {
	began := c.processTime()
	for ctx.Err() == nil {
		c.mu.Lock()
		stalled, resumed := c.stalls > 0, c.resumed
		c.mu.Unlock()
		left := d - (c.processTime() - began)
		switch {
		case stalled:
			select {
			case <-ctx.Done():
			case <-resumed:
			}
		case left <= 0:
			return
		default:
			t := time.NewTimer(left)
			select {
			case <-ctx.Done():
				t.Stop()
			case <-t.C:
			}
		}
	}
}

// processTime is the time that the process has run, without its stalls.
func (c *cores) processTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	ran := time.Since(c.start) - c.stalled
	if c.stalls > 0 {
		ran -= time.Since(c.stalledAt)
	}
	return ran
}

// stall begins a stall; several may overlap.
func (c *cores) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalls++; c.stalls == 1 {
		c.stalledAt = time.Now()
	}
}

// resume ends a stall.
func (c *cores) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalls--; c.stalls == 0 {
		c.stalled += time.Since(c.stalledAt)
		close(c.resumed)
		c.resumed = make(chan struct{})
	}
}

// setSlowdown sets the factor by which work takes longer.
func (c *cores) setSlowdown(factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowdown = factor
}

// report is the last load report: the busy fraction of the cores, and answers a second.
func (c *cores) report(served bool) [2]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served {
		c.served++
	}
	if period := time.Since(c.periodStart); period >= reportEvery {
		all := period.Seconds() * float64(c.def.Cores)
		c.reported = [2]float64{min(1, c.used.Seconds()/all), float64(c.served) / period.Seconds()}
		c.used, c.served, c.periodStart = 0, 0, time.Now()
	}
	return c.reported
}
