package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"petrelhook/internal/coordination/distribute"
)

// kind is what becomes of a version where it is tried.
type kind uint8

const (
	good       kind = iota // by a change
	live                   // by the process that serves
	unchecked              // the program does not take it
	neverReady             // its process never says yes
	diesLater              // its process ends in its trial
	diesAtOnce             // its process ends before it says yes
	kinds
)

// site carries out what a sidecar says, in a world of processes that are started with versions. Its agent may be
// killed at any moment.
type site struct {
	t       testing.TB
	s       *Sidecar
	now     time.Duration
	pid     int
	alive   []Process
	runs    map[int]distribute.Revision // by process number: as its file was when it read it
	trial   map[int]time.Duration       // by process number: since when it says yes
	kinds   map[distribute.Revision]kind
	newest  distribute.Revision
	silent  bool            // processes do not tell what they run
	deaf    bool            // processes do not hear that they are to read their file
	unknown bool            // the program can't be asked
	killed  func() bool     // whether the agent is killed now
	check   func(do Action) // what is to be true of what is done
	kept    json.RawMessage // as it is on the disk
	unseen  *Process        // started by an agent that was killed before it could say so
	most    int
	todo    []Action // of an agent that is not killed
}

func newSite(t testing.TB) *site {
	w := &site{t: t, runs: map[int]distribute.Revision{}, trial: map[int]time.Duration{}, kinds: map[distribute.Revision]kind{},
		killed: func() bool { return false }, check: func(Action) {}}
	w.s = New("old", testLimits)
	w.do(w.s.Tick(0))
	w.pass(time.Second)
	return w
}

func (w *site) save() {
	text, err := json.Marshal(w.s.PersistedState)
	if err != nil {
		w.t.Fatal(err)
	}
	w.kept = text
}

// do does what is to be done; false: the agent was killed and begun again, and what was to be done is lost.
func (w *site) do(todo []Action) bool {
	for len(todo) > 0 {
		w.save()
		if w.killed() {
			w.again()
			return false
		}
		d := todo[0]
		todo = todo[1:]
		w.check(d)
		switch {
		case d.Start != "":
			w.pid++
			p := Process{PID: w.pid, StartTicks: uint64(w.pid), Release: d.Start, StartNumber: w.s.StartCount}
			w.alive, w.runs[w.pid] = append(w.alive, p), d.Version
			w.most = max(w.most, len(w.alive))
			if w.unseen = &p; w.killed() {
				w.again()
				return false
			}
			w.unseen = nil
			todo = append(todo, w.s.ProcessStarted(w.now, p)...)
		case d.Term != nil:
			todo = append(todo, w.die(*d.Term)...)
		case d.Kill != nil:
			todo = append(todo, w.die(*d.Kill)...)
		case d.Reload != nil:
			if !w.deaf && slices.Contains(w.alive, *d.Reload) {
				w.runs[d.Reload.PID] = d.Version
			}
			w.s.ReloadRequested(w.now, *d.Reload, digest(d.Version), nil)
		case d.Check != nil:
			v := CheckResult{Reloadable: w.kinds[d.Check.Version] == live}
			if w.kinds[d.Check.Version] == unchecked {
				v.Rejection = "f.json:1:2: field: is bad"
			}
			if w.unknown {
				v = CheckResult{Unavailable: "no program"}
			}
			todo = append(todo, w.s.CheckCompleted(w.now, *d.Check, v)...)
		}
	}
	w.save()
	return true
}

func digest(r distribute.Revision) string { return fmt.Sprint("of ", r) }

func (w *site) die(p Process) []Action {
	i := slices.Index(w.alive, p)
	if i < 0 {
		return nil
	}
	w.alive = slices.Delete(w.alive, i, i+1)
	return w.s.ProcessExited(w.now, p, "")
}

// again begins the agent anew, with what is kept.
func (w *site) again() {
	killed := w.killed
	w.killed = func() bool { return false }
	var k PersistedState
	if err := json.Unmarshal(w.kept, &k); err != nil {
		w.t.Fatal(err)
	}
	var found *Process
	if p := w.unseen; p != nil && slices.Contains(w.alive, *p) && k.StartCount == p.StartNumber {
		found = p
	}
	w.unseen = nil
	s, todo := Restore(k, testLimits, w.now, func(p Process) bool { return slices.Contains(w.alive, p) }, found)
	w.s = s
	w.s.SetNewestVersion(w.newest)
	w.do(todo)
	w.killed = killed
}

// publish has the agent take a newer version.
func (w *site) publish(k kind) distribute.Revision {
	w.newest++
	w.kinds[w.newest] = k
	w.s.SetNewestVersion(w.newest)
	return w.newest
}

// pass lets time pass, and has the doors answer.
func (w *site) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 500 * time.Millisecond
		for _, p := range slices.Clone(w.alive) {
			k := w.kinds[w.runs[p.PID]]
			if k == diesAtOnce || k == diesLater && w.trial[p.PID] != 0 && w.now-w.trial[p.PID] > 2*time.Second {
				w.do(w.die(p))
				continue
			}
			yes := k != neverReady
			if yes && w.trial[p.PID] == 0 {
				w.trial[p.PID] = w.now
			}
			if !w.do(w.s.ReadinessObserved(w.now, p, yes)) {
				continue
			}
			if told := digest(w.runs[p.PID]); w.silent {
				w.s.DigestReported(p, "")
			} else {
				w.s.DigestReported(p, told)
			}
		}
		w.do(w.s.Tick(w.now))
	}
}

// stands judges how it stands: in force, refused and why, and what the one process runs.
func (w *site) stands(what string, inForce, refused distribute.Revision, why string) {
	w.t.Helper()
	r := w.s.Report("n0")
	if r.InForce != inForce || r.Refused != refused || !strings.Contains(r.Reason, why) || why == "" && r.Reason != "" ||
		len(w.alive) != 1 || w.runs[w.alive[0].PID] != inForce || w.s.Phase != Idle {
		w.t.Errorf("%s: %+v, %v, processes %v run %v", what, r, w.s.Phase, w.alive, w.runs)
	}
}

// Each way in which a version goes in or does not, one after the other: what is refused leaves what is in force as it
// is, and is not tried again, and the next one gets in.
func TestVersions(t *testing.T) {
	w := newSite(t)
	starts := func() uint64 { return w.s.StartCount }
	w.publish(live)
	w.pass(time.Second)
	w.stands("live", 1, 0, "")
	if starts() != 1 {
		t.Errorf("%d starts", starts())
	}
	w.publish(good)
	w.pass(20 * time.Second)
	w.stands("by a change", 2, 0, "")
	w.publish(unchecked)
	w.pass(time.Minute)
	w.stands("its program says no", 2, 3, "f.json:1:2: field: is bad")
	if starts() != 2 {
		t.Errorf("%d starts", starts())
	}
	w.publish(neverReady)
	w.pass(time.Minute)
	w.stands("never ready", 2, 4, "not ready in 6s")
	w.publish(diesLater)
	w.pass(time.Minute)
	w.stands("dies in its trial", 2, 5, "it ended in its trial")
	if starts() != 4 {
		t.Errorf("%d starts: what was refused was tried again", starts())
	}
	w.publish(live)
	w.pass(time.Second)
	w.stands("a good one after that", 6, 0, "")
	w.do(w.die(w.alive[0]))
	w.pass(3 * time.Second)
	w.stands("its process died", 6, 0, "")

	w.silent = true
	w.publish(live)
	w.pass(30 * time.Second)
	w.stands("a program that does not tell what it reads", 7, 0, "")
	if starts() != 6 {
		t.Errorf("%d starts", starts())
	}
	if w.most > 2 {
		t.Errorf("%d processes", w.most)
	}
}

// In force is what new connections are served with: not while the one before still takes some.
func TestInForce(t *testing.T) {
	w := newSite(t)
	w.publish(good)
	w.pass(4 * time.Second)
	if r := w.s.Report("n0"); r.InForce != 0 || r.Reason != "its process is on trial" || len(w.alive) != 2 {
		t.Errorf("%+v, %v", r, w.alive)
	}
	before := w.alive[0]
	w.do(w.s.ReadinessObserved(w.now, before, false))
	if r := w.s.Report("n0"); r.InForce != 0 || w.s.Phase != Trial {
		t.Errorf("%+v", r)
	}
	w.do(w.s.ReadinessObserved(w.now, before, true))
	for w.s.Phase != Ending { // without the world's TERM
		w.now += 500 * time.Millisecond
		w.s.ReadinessObserved(w.now, w.alive[1], true)
		w.s.Tick(w.now)
	}
	w.s.ReadinessObserved(w.now, before, true)
	if r := w.s.Report("n0"); r.InForce != 0 || r.Reason != "the process before ends" {
		t.Errorf("%+v", r)
	}
	w.s.ReadinessObserved(w.now, w.alive[1], false)
	w.s.ReadinessObserved(w.now, before, false)
	if r := w.s.Report("n0"); r.InForce != 0 { // nobody takes any
		t.Errorf("%+v", r)
	}
	w.s.ReadinessObserved(w.now, w.alive[1], true)
	w.s.ReadinessObserved(w.now, before, false)
	if r := w.s.Report("n0"); r.InForce != 1 || r.Reason != "" || w.s.Phase != Ending {
		t.Errorf("%+v", r)
	}
	w.do(w.s.ProcessExited(w.now, w.alive[1], "")) // what is in force stays so
	w.alive = w.alive[:1]
	w.do(w.die(before))
	w.pass(5 * time.Second)
	w.stands("its process died as the one before ended", 1, 0, "")
	if w.s.Rejected != 0 {
		t.Errorf("%+v", w.s.PersistedState)
	}
}

// A version that was published before the one on its way is over has its turn then; one that was overtaken meanwhile
// has none.
func TestVersionsInARow(t *testing.T) {
	w := newSite(t)
	w.publish(good)
	w.pass(time.Second)
	w.publish(good)
	w.pass(time.Second)
	w.publish(neverReady)
	w.publish(good)
	w.s.SetNewestVersion(2) // late
	w.pass(time.Second)
	if r := w.s.Report("n0"); r.Reason != "revision 1 is on its way in" {
		t.Errorf("%+v", r)
	}
	w.pass(30 * time.Second)
	w.stands("the newest", 4, 0, "")
	if w.s.StartCount != 3 {
		t.Errorf("%d starts", w.s.StartCount)
	}
}

// One that comes while another is told to the process that serves has its turn as soon as that has read it.
func TestAVersionBehindOneThatIsTold(t *testing.T) {
	w := newSite(t)
	w.deaf = true
	w.publish(live)
	w.pass(time.Second)
	if !w.s.ByReload {
		t.Fatalf("%+v", w.s.PersistedState)
	}
	w.publish(live)
	w.deaf = false
	w.pass(2 * time.Second)
	w.stands("both were read", 2, 0, "")
}

// Orders of a rollout come first: one that finds a version on its way is carried out as soon as that is over, before
// the next; one that goes on is not disturbed, and what came of it is not lost; a version that was told and not taken
// yet gives way.
func TestVersionsAndOrders(t *testing.T) {
	w := newSite(t)
	w.publish(good)
	w.pass(time.Second)
	if _, err := w.s.ChangeRelease(w.now, 1, "new"); err == nil || !strings.Contains(err.Error(), "version 1 of the configuration is not over") {
		t.Errorf("%v", err)
	}
	w.publish(good)
	taken := false
	for end := w.now + time.Minute; !taken && w.now < end; w.pass(3 * time.Second) {
		todo, err := w.s.ChangeRelease(w.now, 1, "new")
		taken = err == nil
		w.do(todo)
	}
	if w.s.InForce != 1 || w.s.Order != 1 || w.s.Candidate != 0 {
		t.Errorf("%+v", w.s.PersistedState)
	}
	if r := w.s.Report("n0"); r.Reason != "order 1 of a rollout goes on" {
		t.Errorf("%+v", r)
	}
	w.pass(30 * time.Second)
	w.stands("both", 2, 0, "")
	if release, _ := w.s.Serves(); release != "new" || w.s.CompletedOrder != 1 || w.s.FailureReason != "" {
		t.Errorf("%s, %+v", release, w.s.PersistedState)
	}
	w.publish(neverReady)
	w.pass(30 * time.Second)
	w.stands("refused", 2, 3, "not ready")
	if w.s.CompletedOrder != 1 || w.s.FailureReason != "" {
		t.Errorf("what came of the order: %+v", w.s.PersistedState)
	}

	w.deaf = true
	w.publish(live)
	w.pass(8 * time.Second)
	if r := w.s.Report("n0"); r.InForce != 2 || r.Reason != "the process that serves was told to read it" {
		t.Errorf("%+v", r)
	}
	w.deaf = false
	w.do(must(w.s.ChangeRelease(w.now, 2, "old")))
	if w.s.Order != 2 || w.s.Candidate != 0 {
		t.Errorf("%+v", w.s.PersistedState)
	}
	w.pass(30 * time.Second)
	w.stands("both again", 4, 0, "")
	if release, _ := w.s.Serves(); release != "old" || w.s.CompletedOrder != 2 || w.s.FailureReason != "" {
		t.Errorf("%s, %+v", release, w.s.PersistedState)
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// A process that does not hear it is told again; one that began before the file was written tells another digest,
// which is no yes.
func TestAProcessThatIsStopped(t *testing.T) {
	w := newSite(t)
	w.deaf = true
	w.publish(live)
	w.pass(time.Minute)
	if r := w.s.Report("n0"); r.InForce != 0 || w.s.StartCount != 1 {
		t.Errorf("%+v, %d starts", r, w.s.StartCount)
	}
	w.deaf = false
	w.pass(testLimits.ReadyTimeout + time.Second)
	w.stands("it goes on", 1, 0, "")
}

// What is at no version's fault is tried again: a program that can't be asked, a file that can't be written, a start
// that fails.
func TestWhatIsNoFault(t *testing.T) {
	w := newSite(t)
	w.unknown = true
	w.publish(good)
	w.pass(time.Minute)
	w.stands("not asked", 0, 0, "no program")
	w.unknown = false
	w.pass(time.Minute)
	w.stands("asked", 1, 0, "")

	w.publish(live)
	w.now += time.Second
	todo := w.s.Tick(w.now)
	todo = w.s.CheckCompleted(w.now, *todo[0].Check, CheckResult{Reloadable: true})
	if len(todo) != 1 || todo[0].Reload == nil {
		t.Fatalf("%+v", todo)
	}
	w.s.ReloadRequested(w.now, *todo[0].Reload, "", errors.New("no room"))
	if r := w.s.Report("n0"); r.Reason != "no room" || r.Refused != 0 {
		t.Errorf("%+v", r)
	}
	w.pass(5 * time.Second)
	w.stands("written", 2, 0, "")

	w.publish(good)
	w.now += time.Second
	todo = w.s.Tick(w.now)
	if todo = w.s.CheckCompleted(w.now, *todo[0].Check, CheckResult{}); len(todo) != 1 || todo[0].Version != 3 {
		t.Fatalf("%+v", todo)
	}
	w.do(w.s.StartFailed(w.now, "no process"))
	if r := w.s.Report("n0"); r.Reason != "no process" || r.Refused != 0 || w.s.FailureReason != "" {
		t.Errorf("%+v", r)
	}
	w.pass(20 * time.Second)
	w.stands("started", 3, 0, "")
}

// The release that a crash would bring back has to take a version as well as the one that runs.
func TestBothReleasesAreAsked(t *testing.T) {
	w := newSite(t)
	w.do(must(w.s.ChangeRelease(w.now, 1, "new")))
	w.pass(20 * time.Second)
	w.publish(good)
	w.now += time.Second
	todo := w.s.Tick(w.now)
	if len(todo) != 1 || todo[0].Check == nil || todo[0].Check.Releases != [2]string{"new", "old"} {
		t.Fatalf("%+v", todo)
	}
	w.s.Confirm("new") // meanwhile: the answer is to another question
	if todo = w.s.CheckCompleted(w.now, *todo[0].Check, CheckResult{Rejection: "no"}); len(todo) != 1 || todo[0].Check.Releases != [2]string{"new"} {
		t.Fatalf("%+v", todo)
	}
}

// A sidecar that does not come up with what is in force gets a newer version all the same; one that ended once does
// not get it by that.
func TestAVersionThatMends(t *testing.T) {
	w := newSite(t)
	w.publish(good)
	w.pass(20 * time.Second)
	w.stands("in force", 1, 0, "")
	w.publish(good)
	w.do(w.die(w.alive[0]))
	var first Action
	w.check = func(d Action) {
		if first.Start == "" && d.Start != "" {
			first = d
		}
	}
	w.pass(30 * time.Second)
	if first.Version != 1 {
		t.Errorf("started with version %d", first.Version)
	}
	w.stands("then the newer one", 2, 0, "")

	w.kinds[2] = diesAtOnce // from now on
	w.pass(20 * time.Second)
	w.publish(good)
	w.pass(30 * time.Second)
	w.stands("mended", 3, 0, "")
}

// Whatever happens, with an agent that is killed at any moment: never more than two processes; what is in force never
// goes back; what was refused is not tried again; a process that is started for no version's sake has what is in
// force; each order is carried out, and what came of it stays known; and in the end the newest version is in force or
// refused.
func TestVersionsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newSite(t)
		var refused []distribute.Revision
		var inForce distribute.Revision
		var order uint64
		ended := map[uint64]string{}
		excused := map[distribute.Revision]bool{} // its process was ended by somebody else
		look := func() {
			if w.s.InForce < inForce {
				r.Fatalf("%d is in force after %d", w.s.InForce, inForce)
			}
			inForce = w.s.InForce
			if w.s.Rejected != 0 && !slices.Contains(refused, w.s.Rejected) {
				refused = append(refused, w.s.Rejected)
				if k := w.kinds[w.s.Rejected]; k <= live && !excused[w.s.Rejected] {
					r.Fatalf("%d was refused, and is good: %s", w.s.Rejected, w.s.RejectionReason)
				}
			}
			if slices.Contains(refused, inForce) {
				r.Fatalf("%d was refused, and is in force", inForce)
			}
			if w.s.Order == 0 { // else what came of the one before is over
				if failed, known := ended[w.s.CompletedOrder]; known && failed != w.s.FailureReason {
					r.Fatalf("order %d ended with %q, and now with %q", w.s.CompletedOrder, failed, w.s.FailureReason)
				}
				ended[w.s.CompletedOrder] = w.s.FailureReason
			}
			if len(w.alive) > 2 {
				r.Fatalf("%d processes", len(w.alive))
			}
		}
		w.check = func(d Action) {
			look()
			switch {
			case d.Reload != nil && (d.Version != w.s.Candidate || slices.Contains(refused, d.Version)),
				d.Start != "" && d.Version != w.s.InForce && (d.Version != w.s.Candidate || w.s.Phase != Starting || w.s.Order != 0),
				d.Start != "" && slices.Contains(refused, d.Version):
				r.Fatalf("%+v, refused %v, kept %+v", d, refused, w.s.PersistedState)
			}
		}
		step := func(d time.Duration) {
			w.pass(d)
			look()
			if order > w.s.CompletedOrder { // the driver says it again
				if todo, err := w.s.ChangeRelease(w.now, order, []string{"old", "new"}[order%2]); err == nil {
					w.do(todo)
				}
			}
		}
		kills := rapid.IntRange(0, 40).Draw(r, "a kill in so many") // 0: none
		w.killed = func() bool { return kills > 0 && rapid.IntRange(0, kills).Draw(r, "killed") == 0 }
		for range rapid.IntRange(1, 25).Draw(r, "events") {
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0, 1, 2:
				w.publish(kind(rapid.IntRange(0, int(kinds)-1).Draw(r, "kind")))
			case 3:
				if order == w.s.CompletedOrder {
					order++
				}
			case 4:
				if len(w.alive) > 0 {
					p := w.alive[rapid.IntRange(0, len(w.alive)-1).Draw(r, "which")]
					excused[w.runs[p.PID]] = true
					w.do(w.die(p))
				}
			case 5:
				w.save()
				w.again()
			case 6:
				w.deaf = !w.deaf
			case 7:
				w.unknown = !w.unknown
			}
			for range rapid.IntRange(0, 20).Draw(r, "half seconds") {
				step(500 * time.Millisecond)
			}
		}
		w.killed, w.deaf, w.unknown = func() bool { return false }, false, false
		for range 300 {
			step(time.Second)
		}
		if w.s.CompletedOrder != order || w.s.Phase != Idle || len(w.alive) != 1 || w.newest > max(w.s.InForce, w.s.Rejected) {
			r.Fatalf("order %d of %d over, %v, version %d of %d in force, %d refused, %v", w.s.CompletedOrder, order, w.s.Phase, w.s.InForce, w.newest, w.s.Rejected, w.alive)
		}
		if w.runs[w.alive[0].PID] != w.s.InForce {
			r.Fatalf("it runs %d, and %d is in force", w.runs[w.alive[0].PID], w.s.InForce)
		}
		if w.most > 2 {
			r.Fatalf("%d processes at once", w.most)
		}
	})
}
