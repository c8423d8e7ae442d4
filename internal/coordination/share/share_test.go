package share

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/coordination/lease"
)

// events is a priority queue of simulated events, the earliest by true time first.
type events []event

type event struct {
	at time.Duration
	do func()
}

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// clock is a steady clock whose rate is at either end of the drift bound.
type clock struct {
	fast  bool
	begin lease.Instant
}

// at returns the reading of the clock at a moment of true time.
func (c clock) at(t time.Duration) lease.Instant {
	if c.fast {
		t = time.Duration(float64(t) * (1 + lease.MaxDrift))
	}
	return c.begin + lease.Instant(t)
}

// world simulates members and a sequence of leaders under a schedule drawn from a seed: responses are late, lost and out of order, a
// replaced leader still answers requests that were confirmed before the next leader was elected, and the limit changes.
type world struct {
	rand         *rand.Rand
	now          time.Duration
	events       events
	limit        Limit
	earlierUntil []time.Duration // for each earlier limit, the time until which it is still in effect
	earlierUnits []int           // for each earlier limit, its units
	term         uint64
	leader       *Allocator
	clocks       map[*Allocator]clock
	members      []*Consumer
	memberClocks []clock
	violation    string
	largest      float64 // the largest sum of allocations and floors, as a fraction of the limit
	spent        int
}

// schedule makes do run after d of true time.
func (w *world) schedule(d time.Duration, do func()) { heap.Push(&w.events, event{w.now + d, do}) }

// randomDelay draws a delay below limit; in one of three cases it is 1 ns.
func (w *world) randomDelay(limit time.Duration) time.Duration {
	if w.rand.IntN(3) == 0 {
		return 1
	}
	return time.Duration(w.rand.Int64N(int64(limit)))
}

func (w *world) elect() {
	w.term++
	c := clock{w.rand.IntN(2) == 0, lease.Instant(w.randomDelay(time.Hour))}
	w.leader = NewAllocator(w.limit, w.term, c.at(w.now))
	w.clocks[w.leader] = c
}

// requestAgain makes a member send requests repeatedly. Some time after each request, the current leader has its leadership confirmed;
// later this leader answers the request, and the response arrives later still.
func (w *world) requestAgain(i int) {
	w.request(i, w.limit.Period)
	w.schedule(w.randomDelay(w.limit.Period)+w.limit.Period/50, func() { w.requestAgain(i) })
}

func (w *world) request(i int, maxDelay time.Duration) {
	consumer, requestedAt := w.members[i], w.memberClocks[i].at(w.now)
	request := consumer.NewRequest(w.rand.IntN(w.limit.Units), requestedAt)
	w.schedule(w.randomDelay(maxDelay/2), func() {
		allocator := w.leader
		w.schedule(w.randomDelay(maxDelay/2), func() {
			allocation := allocator.Allocate(request, w.clocks[allocator].at(w.now))
			for range 1 + w.rand.IntN(10)/9 { // some requests arrive twice; at most one response arrives
				if w.rand.IntN(10) == 0 {
					allocation = allocator.Allocate(request, w.clocks[allocator].at(w.now))
				}
			}
			if allocation.Units > 0 && w.rand.IntN(4) == 0 { // a random member sends a request when this allocation expires at the leader
				period := w.limit.Period
				if w.clocks[allocator].fast {
					period = time.Duration(float64(period) / (1 + lease.MaxDrift))
				}
				w.schedule(period+time.Microsecond, func() { w.request(w.rand.IntN(len(w.members)), 2) })
			}
			if w.rand.IntN(5) > 0 {
				w.schedule(w.randomDelay(maxDelay), func() { consumer.ApplyAllocation(requestedAt, allocation, request.Finished) })
			}
		})
	})
}

// check compares the floor and the units that members count as allocated with the largest limit that is in effect.
func (w *world) check() {
	sum, limit := w.limit.Floor, w.limit.Units
	for i, m := range w.members {
		sum += m.Allocated(w.memberClocks[i].at(w.now))
	}
	for i, until := range w.earlierUntil {
		if w.now < until {
			limit = max(limit, w.earlierUnits[i])
		}
	}
	if w.largest = max(w.largest, float64(sum)/float64(limit)); sum > limit && w.violation == "" {
		w.violation = fmt.Sprintf("at %v: the allocations and the floor add up to %d units, more than the limit of %d", w.now, sum, limit)
	}
}

// runSchedule runs the schedule of a seed for 20 simulated seconds, or until the limit is exceeded.
func runSchedule(seed uint64) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), clocks: map[*Allocator]clock{}}
	w.limit = Limit{Name: "l", Units: 4 + w.rand.IntN(40), Period: time.Second, Members: 8}
	w.limit.Floor = w.rand.IntN(w.limit.Units / 2)
	w.elect()
	for i := range 2 + w.rand.IntN(5) {
		w.members = append(w.members, NewConsumer(w.limit, fmt.Sprint("m", i), 1))
		w.memberClocks = append(w.memberClocks, clock{w.rand.IntN(2) == 0, lease.Instant(w.randomDelay(time.Hour))})
		w.schedule(w.randomDelay(time.Second), func() { w.requestAgain(i) })
	}
	var spend, changeLeaderOrLimit func()
	spend = func() {
		i := w.rand.IntN(len(w.members))
		if w.members[i].Spend(w.memberClocks[i].at(w.now)) {
			w.spent++
		}
		w.schedule(w.randomDelay(40*time.Millisecond)+5*time.Millisecond, spend)
	}
	changeLeaderOrLimit = func() {
		if w.rand.IntN(3) > 0 {
			w.elect()
		} else {
			units := max(w.limit.Floor, 1+w.rand.IntN(2*w.limit.Units))
			w.earlierUntil = append(w.earlierUntil, w.now+time.Duration(float64(w.limit.Period)*(1+lease.MaxDrift)))
			w.earlierUnits = append(w.earlierUnits, w.limit.Units)
			w.limit.Units = units
			w.leader.SetUnits(units)
		}
		w.schedule(w.randomDelay(4*time.Second), changeLeaderOrLimit)
	}
	spend()
	w.schedule(2*time.Second, changeLeaderOrLimit)
	for w.now < 20*time.Second && w.violation == "" {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.check() // just before the event, when the sum is largest, and after it
		e.do()
		w.check()
	}
	return w
}

// Under schedules drawn from seeds, with clocks at either end of the drift bound, the allocations of the members and the floor never exceed
// the limit. The environment variable SCHEDULES sets the number of schedules.
func TestNeverOverTheLimit(t *testing.T) {
	n := 2000
	fmt.Sscan(os.Getenv("SCHEDULES"), &n)
	largest, spent := 0.0, 0
	const workerCount = 3 // leaves processors to other packages' tests, which run at the same time
	var workers sync.WaitGroup
	var mu sync.Mutex
	for first := range workerCount {
		workers.Go(func() {
			for seed := first; seed < n; seed += workerCount {
				w := runSchedule(uint64(seed))
				if w.violation != "" {
					t.Errorf("seed %d: %s", seed, w.violation)
					return
				}
				mu.Lock()
				largest, spent = max(largest, w.largest), spent+w.spent
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	t.Logf("%d schedules, %d uses, largest sum of allocations and floors: %.3f of the limit", n, spent, largest)
	if largest < 0.99 {
		t.Error("the limit is never used up, so the test cannot find a violation")
	}
}

// crowd simulates many members that send requests as often as RetryAfter allows.
type crowd struct {
	allocator *Allocator
	limit     Limit
	received  map[string]int
	requests  int
}

// run simulates the members between the times from and to, and returns the units that they got. demand returns the demand of member i.
func (c *crowd) run(from, to time.Duration, members int, demand func(i int) int) (got int) {
	next := map[int]time.Duration{}
	step := c.limit.Period / 50
	for now := from; now < to; now += step {
		for i := range members {
			if now < next[i] {
				continue
			}
			c.requests++
			name := fmt.Sprint("m", i)
			allocation := c.allocator.Allocate(AllocationRequest{Member: name, Demand: demand(i), Weight: 1 + float64(i%2)}, lease.Instant(now))
			c.received[name] += allocation.Units
			got += allocation.Units
			if next[i] = now + allocation.RetryAfter; allocation.RetryAfter == 0 {
				next[i] = now + c.limit.Period/2
			}
		}
	}
	return got
}

// Allocations are fair by weight, every member gets some units, and the limit is nearly used up: with many members that start at once,
// with a member of a large demand, and when members join while the limit is halved.
func TestFair(t *testing.T) {
	const period = time.Second
	begin := func(units int) *crowd {
		l := Limit{Name: "l", Units: units, Period: period, Members: 4000}
		allocator := NewAllocator(l, 1, 0)
		return &crowd{allocator: allocator, limit: l, received: map[string]int{}}
	}
	within := func(what string, got, low, high int) {
		t.Helper()
		if got < low || got > high {
			t.Errorf("%s: %d, want %d to %d", what, got, low, high)
		}
	}
	c := begin(20) // 2,000 members start at once, with a hundredth of a unit per period each
	within("2,000 members, over 200 periods", c.run(period, 201*period, 2000, func(int) int { return 1 }), 200*20*10/12, 201*20)
	smallest, largest := 1<<30, 0
	for i := range 2000 {
		n := c.received[fmt.Sprint("m", i)] * 2 / (1 + i%2)
		smallest, largest = min(smallest, n), max(largest, n)
	}
	within("the member with the fewest units for its weight", smallest, 1, 3)
	within("the member with the most units for its weight", largest, 1, 5)
	t.Logf("2,000 members at 20 units a period: %d to %d units for a weight of 1, %.1f requests a period", smallest, largest, float64(c.requests)/200)

	c = begin(100) // one member demands as much as all others together, and the sum exceeds the limit
	large := func(i int) int { return map[bool]int{true: 100, false: 10}[i == 0] }
	c.run(period, 3*period, 11, large) // not measured: in the first period, the first member to send a request gets all units
	c.received = map[string]int{}
	c.run(3*period, 23*period, 11, large)
	within("the member with the large demand", c.received["m0"], 20*6, 20*12)
	within("a member with a small demand", c.received["m1"], 20*9, 21*10)

	c = begin(100) // the number of members doubles, and the limit is halved
	c.run(period, 6*period+period/2, 10, func(int) int { return 10 })
	before := c.received["m0"]
	c.allocator.SetUnits(50)
	if got := c.allocator.Outstanding(lease.Instant(6*period + period/2)); got < 90 {
		t.Errorf("%d units are outstanding just after the limit was halved, want at least 90", got)
	}
	within("all members, in nine and a half periods of the halved limit", c.run(6*period+period/2, 16*period, 20, func(int) int { return 10 }), 9*50*10/13, 10*50)
	within("a member of weight 1 that was there before", c.received["m0"]-before, 8, 25)
	if got := c.allocator.Outstanding(lease.Instant(16 * period)); got > 50 {
		t.Errorf("%d units are outstanding, want at most the limit of 50", got)
	}

	l := Limit{Name: "l", Units: 10, Period: period, Members: 2}
	allocator := NewAllocator(l, 1, 0)
	for i, want := range []int{1, 1, 0} { // a member beyond Limit.Members gets nothing
		if allocation := allocator.Allocate(AllocationRequest{Member: fmt.Sprint(i), Demand: 5}, lease.Instant(period+time.Duration(i))); min(allocation.Units, 1) != want {
			t.Errorf("member %d: %+v, want units only for the first two members", i, allocation)
		}
	}
}

// A member without an allocation uses its floor and no more, and does not spend units that it has returned. Check rejects invalid limits.
func TestConsumer(t *testing.T) {
	l := Limit{Name: "l", Units: 100, Floor: 10, Members: 5, Period: time.Second}
	consumer, uses := NewConsumer(l, "m", 1), 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		if consumer.Spend(lease.Instant(at)) {
			uses++
		}
	}
	if uses < 18 || uses > 20 {
		t.Errorf("%d uses of the floor in ten periods, want 18 to 20", uses)
	}
	now := lease.Instant(10 * time.Second)
	consumer.ApplyAllocation(now, Allocation{ID: 1, Units: 4}, nil)
	consumer.ApplyAllocation(now-lease.Instant(time.Millisecond), Allocation{ID: 2, Units: 3}, nil) // out of order
	if !consumer.Spend(now) || consumer.Remaining(now) != 6 {
		t.Error(consumer.Remaining(now))
	}
	request := consumer.NewRequest(3, now)
	if len(request.Finished) != 1 || request.Finished[0] != (Usage{1, 1}) || request.Demand != 0 || consumer.Remaining(now) != 3 {
		t.Errorf("%+v, want one usage {1 1}, no demand, and 3 remaining units", request)
	}
	if again := consumer.NewRequest(3, now); len(again.Finished) != 1 {
		t.Error("a usage that was not acknowledged is not reported again")
	}
	consumer.ApplyAllocation(now, Allocation{}, request.Finished)
	if again := consumer.NewRequest(3, now); len(again.Finished) != 0 {
		t.Error("a usage that was acknowledged is reported again")
	}
	if end := now + lease.Instant(time.Second); consumer.Remaining(end-lease.Instant(9*time.Millisecond)) != 0 {
		t.Error("the member may spend an allocation just before it expires by the leader's clock")
	}
	for want, bad := range map[string]Limit{"name": {}, "units": {Name: "l", Units: -1}, "period": {Name: "l", Units: 1}, "floor": {Name: "l", Units: 1, Period: time.Second, Floor: 2}, "members": {Name: "l", Units: 1, Period: time.Second}} {
		if err := bad.Check(); err == nil || err.Error()[:len(want)] != want {
			t.Errorf("%v, want an error that begins with %q", err, want)
		}
	}
}
