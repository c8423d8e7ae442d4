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

// events are what happens, by true time.
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

// clock is a steady clock at either end of the bound.
type clock struct {
	fast  bool
	begin lease.Instant
}

func (c clock) at(t time.Duration) lease.Instant {
	if c.fast {
		t = time.Duration(float64(t) * (1 + lease.MaxDrift))
	}
	return c.begin + lease.Instant(t)
}

// world is members, and leaders one after another, under a schedule drawn from a seed: answers late, lost and crossing, members that are
// stopped, leaders that answer what was confirmed before the next was elected, limits that change.
type world struct {
	r       *rand.Rand
	now     time.Duration
	queue   events
	limit   Limit
	changed []time.Duration // since when the limits below count no more
	before  []int
	term    uint64
	leader  *Allocator
	clocks  map[*Allocator]clock
	members []*Consumer
	own     []clock
	over    string
	largest float64 // use of the limit
	spent   int
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.queue, event{w.now + d, do}) }
func (w *world) up(most time.Duration) time.Duration {
	if w.r.IntN(3) == 0 { // at once, now and then
		return 1
	}
	return time.Duration(w.r.Int64N(int64(most)))
}

func (w *world) elect() {
	w.term++
	c := clock{w.r.IntN(2) == 0, lease.Instant(w.up(time.Hour))}
	w.leader = NewAllocator(w.limit, w.term, c.at(w.now))
	w.clocks[w.leader] = c
}

// ask is a member's question: it is confirmed some time after, by whoever leads then, answered a moment later, and heard later still.
func (w *world) ask(i int) {
	w.question(i, w.limit.Period)
	w.after(w.up(w.limit.Period)+w.limit.Period/50, func() { w.ask(i) })
}

func (w *world) question(i int, late time.Duration) {
	m, asked := w.members[i], w.own[i].at(w.now)
	q := m.NewRequest(w.r.IntN(w.limit.Units), asked)
	w.after(w.up(late/2), func() {
		d := w.leader
		w.after(w.up(late/2), func() {
			told := d.Allocate(q, w.clocks[d].at(w.now))
			for range 1 + w.r.IntN(10)/9 { // the question comes twice now and then; only one answer is heard
				if w.r.IntN(10) == 0 {
					told = d.Allocate(q, w.clocks[d].at(w.now))
				}
			}
			if told.Units > 0 && w.r.IntN(4) == 0 { // another one asks in the moment in which this part ends for the leader
				ends := w.limit.Period
				if w.clocks[d].fast {
					ends = time.Duration(float64(ends) / (1 + lease.MaxDrift))
				}
				w.after(ends+time.Microsecond, func() { w.question(w.r.IntN(len(w.members)), 2) })
			}
			if w.r.IntN(5) > 0 {
				w.after(w.up(late), func() { m.ApplyAllocation(asked, told, q.Finished) })
			}
		})
	})
}

// check compares what members believe with the largest limit that counts.
func (w *world) check() {
	sum, most := w.limit.Floor, w.limit.Units
	for i, m := range w.members {
		sum += m.Allocated(w.own[i].at(w.now))
	}
	for i, until := range w.changed {
		if w.now < until {
			most = max(most, w.before[i])
		}
	}
	if w.largest = max(w.largest, float64(sum)/float64(most)); sum > most && w.over == "" {
		w.over = fmt.Sprintf("%v: %d of %d", w.now, sum, most)
	}
}

func play(seed uint64) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), clocks: map[*Allocator]clock{}}
	w.limit = Limit{Name: "l", Units: 4 + w.r.IntN(40), Period: time.Second, Members: 8}
	w.limit.Floor = w.r.IntN(w.limit.Units / 2)
	w.elect()
	for i := range 2 + w.r.IntN(5) {
		w.members = append(w.members, NewConsumer(w.limit, fmt.Sprint("m", i), 1))
		w.own = append(w.own, clock{w.r.IntN(2) == 0, lease.Instant(w.up(time.Hour))})
		w.after(w.up(time.Second), func() { w.ask(i) })
	}
	var spend, again func()
	spend = func() {
		i := w.r.IntN(len(w.members))
		if w.members[i].Spend(w.own[i].at(w.now)) {
			w.spent++
		}
		w.after(w.up(40*time.Millisecond)+5*time.Millisecond, spend)
	}
	again = func() {
		if w.r.IntN(3) > 0 {
			w.elect()
		} else {
			units := max(w.limit.Floor, 1+w.r.IntN(2*w.limit.Units))
			w.changed = append(w.changed, w.now+time.Duration(float64(w.limit.Period)*(1+lease.MaxDrift)))
			w.before = append(w.before, w.limit.Units)
			w.limit.Units = units
			w.leader.SetUnits(units)
		}
		w.after(w.up(4*time.Second), again)
	}
	spend()
	w.after(2*time.Second, again)
	for w.now < 20*time.Second && w.over == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.check() // just before, where most has been counted, and after
		e.do()
		w.check()
	}
	return w
}

// Over schedules drawn from seeds, with clocks at the ends of their bound: what members believe is never more than the limit. SCHEDULES in
// the environment says how many.
func TestNeverOverTheLimit(t *testing.T) {
	n := 2000
	fmt.Sscan(os.Getenv("SCHEDULES"), &n)
	largest, spent := 0.0, 0
	const players = 3 // others test processes meanwhile
	var sides sync.WaitGroup
	var mu sync.Mutex
	for first := range players {
		sides.Go(func() {
			for seed := first; seed < n; seed += players {
				w := play(uint64(seed))
				if w.over != "" {
					t.Errorf("seed %d: %s", seed, w.over)
					return
				}
				mu.Lock()
				largest, spent = max(largest, w.largest), spent+w.spent
				mu.Unlock()
			}
		})
	}
	sides.Wait()
	t.Logf("%d schedules, %d uses, at most %.3f of the limit", n, spent, largest)
	if largest < 0.99 {
		t.Error("the limit is never used up: the test shows nothing")
	}
}

// crowd is members that want so much a period each, of which every one asks when it was told to.
type crowd struct {
	d     *Allocator
	limit Limit
	got   map[string]int
	asks  int
}

func (c *crowd) run(from, to time.Duration, members int, want func(i int) int) (got int) {
	next := map[int]time.Duration{}
	step := c.limit.Period / 50
	for now := from; now < to; now += step {
		for i := range members {
			if now < next[i] {
				continue
			}
			c.asks++
			name := fmt.Sprint("m", i)
			told := c.d.Allocate(AllocationRequest{Member: name, Demand: want(i), Weight: 1 + float64(i%2)}, lease.Instant(now))
			c.got[name] += told.Units
			got += told.Units
			if next[i] = now + told.RetryAfter; told.RetryAfter == 0 {
				next[i] = now + c.limit.Period/2
			}
		}
	}
	return got
}

// Fair by weight, nobody at nothing, and the limit is used up: whatever members there are, and however they come.
func TestFair(t *testing.T) {
	const period = time.Second
	begin := func(units int) *crowd {
		l := Limit{Name: "l", Units: units, Period: period, Members: 4000}
		d := NewAllocator(l, 1, 0)
		return &crowd{d: d, limit: l, got: map[string]int{}}
	}
	within := func(what string, got, low, high int) {
		t.Helper()
		if got < low || got > high {
			t.Errorf("%s: %d, want %d to %d", what, got, low, high)
		}
	}
	c := begin(20) // 2,000 that start at once, a hundredth of a unit each
	within("a crowd, over 200 periods", c.run(period, 201*period, 2000, func(int) int { return 1 }), 200*20*10/12, 201*20)
	least, most := 1<<30, 0
	for i := range 2000 {
		n := c.got[fmt.Sprint("m", i)] * 2 / (1 + i%2)
		least, most = min(least, n), max(most, n)
	}
	within("the one with least for its weight", least, 1, 3)
	within("the one with most for its weight", most, 1, 5)
	t.Logf("2,000 members at 20 units a period: %d to %d for a weight, %.1f questions a period", least, most, float64(c.asks)/200)

	c = begin(100) // one wants half of everything, all together more than there is
	large := func(i int) int { return map[bool]int{true: 100, false: 10}[i == 0] }
	c.run(period, 3*period, 11, large) // the first to come has all, for a period
	c.got = map[string]int{}
	c.run(3*period, 23*period, 11, large)
	within("the large one", c.got["m0"], 20*6, 20*12)
	within("a small one", c.got["m1"], 20*9, 21*10)

	c = begin(100) // as many again come, and the limit halves
	c.run(period, 6*period+period/2, 10, func(int) int { return 10 })
	before := c.got["m0"]
	c.d.SetUnits(50)
	if got := c.d.Outstanding(lease.Instant(6*period + period/2)); got < 90 {
		t.Errorf("%d are out", got)
	}
	within("all, in nine periods and a half of the half", c.run(6*period+period/2, 16*period, 20, func(int) int { return 10 }), 9*50*10/13, 10*50)
	within("an old one of weight 1, of its part", c.got["m0"]-before, 8, 25)
	if got := c.d.Outstanding(lease.Instant(16 * period)); got > 50 {
		t.Errorf("%d are out of 50", got)
	}

	l := Limit{Name: "l", Units: 10, Period: period, Members: 2}
	d := NewAllocator(l, 1, 0)
	for i, want := range []int{1, 1, 0} { // one more than the limit knows of gets nothing
		if told := d.Allocate(AllocationRequest{Member: fmt.Sprint(i), Demand: 5}, lease.Instant(period+time.Duration(i))); min(told.Units, 1) != want {
			t.Errorf("member %d: %+v", i, told)
		}
	}
}

// A member that is told nothing uses its floor and no more; what it gives back it does not spend; what is wrong with a limit is said.
func TestTaker(t *testing.T) {
	l := Limit{Name: "l", Units: 100, Floor: 10, Members: 5, Period: time.Second}
	m, uses := NewConsumer(l, "m", 1), 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		if m.Spend(lease.Instant(at)) {
			uses++
		}
	}
	if uses < 18 || uses > 20 {
		t.Errorf("%d uses of the floor in ten periods", uses)
	}
	now := lease.Instant(10 * time.Second)
	m.ApplyAllocation(now, Allocation{ID: 1, Units: 4}, nil)
	m.ApplyAllocation(now-lease.Instant(time.Millisecond), Allocation{ID: 2, Units: 3}, nil) // it crossed
	if !m.Spend(now) || m.Remaining(now) != 6 {
		t.Error(m.Remaining(now))
	}
	q := m.NewRequest(3, now)
	if len(q.Finished) != 1 || q.Finished[0] != (Usage{1, 1}) || q.Demand != 0 || m.Remaining(now) != 3 {
		t.Errorf("%+v", q)
	}
	if again := m.NewRequest(3, now); len(again.Finished) != 1 {
		t.Error("what was not heard is not told again")
	}
	m.ApplyAllocation(now, Allocation{}, q.Finished)
	if again := m.NewRequest(3, now); len(again.Finished) != 0 {
		t.Error("what was heard is told again")
	}
	if end := now + lease.Instant(time.Second); m.Remaining(end-lease.Instant(9*time.Millisecond)) != 0 {
		t.Error("it believes as long as the leader counts")
	}
	for want, bad := range map[string]Limit{"name": {}, "units": {Name: "l", Units: -1}, "period": {Name: "l", Units: 1}, "floor": {Name: "l", Units: 1, Period: time.Second, Floor: 2}, "members": {Name: "l", Units: 1, Period: time.Second}} {
		if err := bad.Check(); err == nil || err.Error()[:len(want)] != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
