package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	core "petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/replica/disk"
	"petrelhook/internal/rig/contend"
	"petrelhook/internal/rig/process"
	"petrelhook/lease"
)

// measurementTime is the duration of one measurement.
const measurementTime = 2 * time.Second

// measureCalls calls operation from several goroutines at once for measurementTime. It returns the calls per second, and the median and the
// 99th percentile of their durations.
func measureCalls(goroutines int, operation func(worker, n int)) (rate float64, p50, p99 time.Duration) {
	var mu sync.Mutex
	var durations []time.Duration
	var workers sync.WaitGroup
	end := time.Now().Add(measurementTime)
	for goroutine := range goroutines {
		workers.Go(func() {
			var own []time.Duration
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				operation(goroutine, n)
				own = append(own, time.Since(began))
			}
			mu.Lock()
			durations = append(durations, own...)
			mu.Unlock()
		})
	}
	workers.Wait()
	slices.Sort(durations)
	return float64(len(durations)) / measurementTime.Seconds(), durations[len(durations)/2], durations[len(durations)*99/100]
}

// Measures the rate and latency of grants and renewals with 1, 3 and 5 replicas, for growing numbers of leases and sessions.
func TestFigures(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	for _, n := range []int{1, 3, 5} {
		g := newGroup(t, n)
		request := g.NewCaller()
		for _, size := range [][2]int{{10, 10}, {10_000, 10}, {10_000, 2000}} { // leases, sessions
			var sessions []core.SessionID
			var opened sync.Mutex
			var openers sync.WaitGroup
			for w := range 32 {
				openers.Go(func() {
					for i := w; i < size[1]; i += 32 {
						a := request(fleet.Request{Command: &core.Command{Kind: core.Open, Nonce: fmt.Sprintf("nonce-%d-%v-%d", n, size, i), Owner: "o", TTL: 50 * time.Second}})
						for l, seq := i, uint64(1); l < size[0]; l, seq = l+size[1], seq+1 {
							request(fleet.Request{Command: &core.Command{Kind: core.Acquire, Session: a.Answer.Session, Seq: seq, Name: fmt.Sprintf("l%d-%d-%d", size[0], size[1], l)}})
						}
						opened.Lock()
						sessions = append(sessions, a.Answer.Session)
						opened.Unlock()
					}
				})
			}
			openers.Wait()
			var seqs [8]uint64
			var own [8]core.SessionID
			for w := range own {
				own[w] = request(fleet.Request{Command: &core.Command{Kind: core.Open, Nonce: fmt.Sprintf("worker-%d-%v-%d", n, size, w), Owner: "o", TTL: 50 * time.Second}}).Answer.Session
			}
			grant := func(w, _ int) {
				seqs[w]++
				request(fleet.Request{Command: &core.Command{Kind: core.Acquire, Session: own[w], Seq: seqs[w], Name: fmt.Sprintf("w%d-%d-%d-%d", w, seqs[w], size[0], size[1])}})
			}
			_, g50, g99 := measureCalls(1, grant)
			grants, _, _ := measureCalls(8, grant)
			// each is the number of grants of each session, which equals the version that the client knows.
			each := uint64(max(1, size[0]/size[1]))
			renew := func(w, n int) {
				request(fleet.Request{KeepAlive: &replica.KeepAlive{Session: sessions[(w*7919+n)%len(sessions)], KnownVersion: each}})
			}
			_, r50, r99 := measureCalls(1, func(w, n int) { renew(0, n) })
			renewals, _, _ := measureCalls(32, renew)
			t.Logf("%d replicas, %5d leases, %4d sessions: grant p50 %v p99 %v, %.0f/s; renewal p50 %v p99 %v, %.0f/s", n, size[0], size[1],
				g50.Round(10*time.Microsecond), g99.Round(10*time.Microsecond), grants, r50.Round(10*time.Microsecond), r99.Round(10*time.Microsecond), renewals)
		}
		for _, c := range g.Members {
			c.KillAndWait()
		}
	}
}

// Measures how long no client holds the lease after the holder, the leader or both are killed. Logs the
// results with the settings that bound that time.
func TestFiguresWithoutAHolder(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	g, r := newGroup(t, 3), &contend.Resource{}
	guarded := peertest.NewRaw(t, r.Serve)
	for _, target := range []string{"holder", "leader", "both"} {
		var longest, total time.Duration
		const kills = 10
		for i := range kills {
			out := &process.Buffer{}
			holder := start(t, contend.RoleIdleHolder, out, guarded, fmt.Sprintf("%s,%s,%s", g.ClientLinks[0].Addr, g.ClientLinks[1].Addr, g.ClientLinks[2].Addr), fmt.Sprint(target, i))
			peertest.Eventually(t, "the holder has the lease", func() bool { return out.String() != "" })
			next, err := lease.New(lease.Options{Addrs: g.Addrs(), Owner: "next", TTL: ttl})
			if err != nil {
				t.Fatal(err)
			}
			acquired := make(chan time.Time, 1)
			go func() {
				if _, err := next.Hold(t.Context(), fmt.Sprint(target, i)); err == nil {
					acquired <- time.Now()
				}
			}()
			<-time.After(time.Duration(rand.IntN(int(ttl)))) // a random moment between two renewals
			leader := g.Leader()
			began := time.Now()
			if target != "leader" {
				holder.Kill()
			}
			if target != "holder" && leader >= 0 {
				g.Members[leader].Kill()
			}
			if target == "leader" { // the holder keeps the lease: measure until a new leader answers
				g.AwaitNewLeader(leader)
				took := time.Since(began)
				longest, total = max(longest, took), total+took
				holder.Kill()
				peertest.Wait(t, acquired)
			} else {
				took := peertest.Wait(t, acquired).Sub(began)
				longest, total = max(longest, took), total+took
			}
			next.Close()
			if target != "holder" && leader >= 0 {
				g.Members[leader].Wait()
				g.Members[leader].Start()
			}
		}
		t.Logf("kill of %s: mean %v, longest %v; the TTL of a session is %v, and an election takes 200 to 400 ms or more", target, (total / kills).Round(time.Millisecond), longest.Round(time.Millisecond), ttl)
	}
}

// Measures the memory that a lease takes, and the size on disk, the length of the log and the time to restart after a million commands.
func TestFiguresOfAMillionCommands(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	s := core.NewState()
	for i := range 1000 {
		s.Apply(core.Command{Kind: core.Open, Nonce: fmt.Sprint("nonce", i), Owner: "o", TTL: time.Second})
	}
	for i := range 100_000 {
		s.Apply(core.Command{Kind: core.Acquire, Session: core.SessionID(i%1000 + 1), Seq: uint64(i + 1), Name: fmt.Sprintf("duty/probe/%06d", i)})
	}
	t.Logf("%.0f bytes of memory per lease, %d in a snapshot", (heap()-before)/100_000, len(s.Snapshot())/100_000)
	runtime.KeepAlive(s)

	dir := t.TempDir()
	if err := disk.Create(dir, 1, replica.InitialState([]replica.Member{{ID: 1}}, core.NewState())); err != nil {
		t.Fatal(err)
	}
	d, kept, err := disk.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	c, err := replica.New(replica.Options{ID: 1, Rand: rand.IntN}, kept)
	if err != nil {
		t.Fatal(err)
	}
	var now core.Instant
	pump := func() {
		for w, ok := c.Ready(); ok; w, ok = c.Ready() {
			if w.Sync {
				if err := d.Save(w); err != nil {
					t.Fatal(err)
				}
			}
			own, compact, err := c.Advance(w, now)
			if err == nil && own != nil {
				err = d.SaveSnapshot(own, compact)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	for !c.Status().IsLeader {
		c.Tick(now)
		pump()
	}
	var session core.SessionID
	c.Submit(replica.Request{Command: &core.Command{Kind: core.Open, Nonce: "the session", Owner: "o", TTL: time.Minute}, Done: func(r replica.Response) { session = r.Answer.Session }})
	pump()
	began := time.Now()
	for i := range 1_000_000 {
		cmd := core.Command{Kind: core.Acquire, Session: session, Seq: uint64(i + 1), Name: fmt.Sprintf("duty/%04d", i%5000)}
		c.Submit(replica.Request{Command: &cmd, Done: func(replica.Response) {}})
		if i%500 == 0 {
			pump()
		}
	}
	pump()
	took, log := time.Since(began), c.Status().Log
	d.Close()
	info, err := os.Stat(filepath.Join(dir, "replica.db"))
	if err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	d, kept, err = disk.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = replica.New(replica.Options{ID: 1, Rand: rand.IntN}, kept); err != nil {
		t.Fatal(err)
	}
	for !c.Status().IsLeader {
		c.Tick(now)
		pump()
	}
	t.Logf("1,000,000 commands in %v, %d log entries and %d MB on disk, %v from the start until it leads (without waiting for ticks)", took.Round(time.Millisecond), log, info.Size()>>20, time.Since(began).Round(time.Millisecond))
	d.Close()
}
