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

// versionKind says what happens when a version is applied.
type versionKind uint8

const (
	good       versionKind = iota // applied by a change
	live                          // applied by a reload
	unchecked                     // the program rejects it
	neverReady                    // its process never becomes ready
	diesLater                     // its process ends in its trial
	diesAtOnce                    // its process ends before it is ready
	kinds
)

// world carries out the actions of a sidecar on simulated processes that are started with versions. Its agent may be killed at any
// moment.
type world struct {
	t                testing.TB
	sidecar          *Sidecar
	now              time.Duration
	lastPID          int
	alive            []Process
	runningVersions  map[int]distribute.Revision // by PID: the version that it read
	readySince       map[int]time.Duration       // by PID
	kinds            map[distribute.Revision]versionKind
	newest           distribute.Revision
	noDigests        bool            // processes report no digest
	ignoresReload    bool            // processes do not get the signal
	checkUnavailable bool            // checks cannot be made
	agentKilled      func() bool     // whether the agent is killed at this point
	checkAction      func(Action)    // checks what must hold of each action
	persisted        json.RawMessage // as it is on the disk
	unnotedStart     *Process        // started by an agent that was killed before it could note so
	maxProcesses     int
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, runningVersions: map[int]distribute.Revision{}, readySince: map[int]time.Duration{}, kinds: map[distribute.Revision]versionKind{},
		agentKilled: func() bool { return false }, checkAction: func(Action) {}}
	w.sidecar = New("old", testLimits)
	w.carryOut(w.sidecar.Tick(0))
	w.advance(time.Second)
	return w
}

func (w *world) save() {
	text, err := json.Marshal(w.sidecar.PersistedState)
	if err != nil {
		w.t.Fatal(err)
	}
	w.persisted = text
}

// carryOut carries out actions. It returns false if the agent was killed and restarted; then the rest of them is lost.
func (w *world) carryOut(actions []Action) bool {
	for len(actions) > 0 {
		w.save()
		if w.agentKilled() {
			w.restartAgent()
			return false
		}
		action := actions[0]
		actions = actions[1:]
		w.checkAction(action)
		switch {
		case action.Start != "":
			w.lastPID++
			p := Process{PID: w.lastPID, StartTicks: uint64(w.lastPID), Release: action.Start, StartNumber: w.sidecar.StartCount}
			w.alive, w.runningVersions[w.lastPID] = append(w.alive, p), action.Version
			w.maxProcesses = max(w.maxProcesses, len(w.alive))
			if w.unnotedStart = &p; w.agentKilled() {
				w.restartAgent()
				return false
			}
			w.unnotedStart = nil
			actions = append(actions, w.sidecar.ProcessStarted(w.now, p)...)
		case action.Term != nil:
			actions = append(actions, w.exit(*action.Term)...)
		case action.Kill != nil:
			actions = append(actions, w.exit(*action.Kill)...)
		case action.Reload != nil:
			if !w.ignoresReload && slices.Contains(w.alive, *action.Reload) {
				w.runningVersions[action.Reload.PID] = action.Version
			}
			w.sidecar.ReloadRequested(w.now, *action.Reload, digest(action.Version), nil)
		case action.Check != nil:
			v := CheckResult{Reloadable: w.kinds[action.Check.Version] == live}
			if w.kinds[action.Check.Version] == unchecked {
				v.Rejection = "f.json:1:2: field: is bad"
			}
			if w.checkUnavailable {
				v = CheckResult{Unavailable: "no program"}
			}
			actions = append(actions, w.sidecar.CheckCompleted(w.now, *action.Check, v)...)
		}
	}
	w.save()
	return true
}

func digest(r distribute.Revision) string { return fmt.Sprint("of ", r) }

func (w *world) exit(p Process) []Action {
	i := slices.Index(w.alive, p)
	if i < 0 {
		return nil
	}
	w.alive = slices.Delete(w.alive, i, i+1)
	return w.sidecar.ProcessExited(w.now, p, "")
}

// restartAgent restores the sidecar from the persisted state.
func (w *world) restartAgent() {
	killed := w.agentKilled
	w.agentKilled = func() bool { return false }
	var k PersistedState
	if err := json.Unmarshal(w.persisted, &k); err != nil {
		w.t.Fatal(err)
	}
	var found *Process
	if p := w.unnotedStart; p != nil && slices.Contains(w.alive, *p) && k.StartCount == p.StartNumber {
		found = p
	}
	w.unnotedStart = nil
	s, todo := Restore(k, testLimits, w.now, func(p Process) bool { return slices.Contains(w.alive, p) }, found)
	w.sidecar = s
	w.sidecar.SetNewestVersion(w.newest)
	w.carryOut(todo)
	w.agentKilled = killed
}

// publish gives the agent a newer version.
func (w *world) publish(k versionKind) {
	w.newest++
	w.kinds[w.newest] = k
	w.sidecar.SetNewestVersion(w.newest)
}

// advance lets time pass and probes the processes.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 500 * time.Millisecond
		for _, p := range slices.Clone(w.alive) {
			k := w.kinds[w.runningVersions[p.PID]]
			if k == diesAtOnce || k == diesLater && w.readySince[p.PID] != 0 && w.now-w.readySince[p.PID] > 2*time.Second {
				w.carryOut(w.exit(p))
				continue
			}
			yes := k != neverReady
			if yes && w.readySince[p.PID] == 0 {
				w.readySince[p.PID] = w.now
			}
			if !w.carryOut(w.sidecar.ReadinessObserved(w.now, p, yes)) {
				continue
			}
			if told := digest(w.runningVersions[p.PID]); w.noDigests {
				w.sidecar.DigestReported(p, "")
			} else {
				w.sidecar.DigestReported(p, told)
			}
		}
		w.carryOut(w.sidecar.Tick(w.now))
	}
}

// requireState checks the versions in force and rejected, the reason, and that one process runs the version in force.
func (w *world) requireState(what string, inForce, refused distribute.Revision, why string) {
	w.t.Helper()
	r := w.sidecar.Report("n0")
	if r.InForce != inForce || r.Refused != refused || !strings.Contains(r.Reason, why) || why == "" && r.Reason != "" ||
		len(w.alive) != 1 || w.runningVersions[w.alive[0].PID] != inForce || w.sidecar.Phase != Idle {
		w.t.Errorf("%s: %+v, %v, processes %v run %v", what, r, w.sidecar.Phase, w.alive, w.runningVersions)
	}
}

// Each way in which a version is applied or rejected, one after the other: a rejected version leaves the one in force as it is, is not
// tried again, and the next one is applied.
func TestVersions(t *testing.T) {
	w := newWorld(t)
	starts := func() uint64 { return w.sidecar.StartCount }
	w.publish(live)
	w.advance(time.Second)
	w.requireState("live", 1, 0, "")
	if starts() != 1 {
		t.Errorf("%d starts", starts())
	}
	w.publish(good)
	w.advance(20 * time.Second)
	w.requireState("by a change", 2, 0, "")
	w.publish(unchecked)
	w.advance(time.Minute)
	w.requireState("its program says no", 2, 3, "f.json:1:2: field: is bad")
	if starts() != 2 {
		t.Errorf("%d starts", starts())
	}
	w.publish(neverReady)
	w.advance(time.Minute)
	w.requireState("never ready", 2, 4, "not ready in 6s")
	w.publish(diesLater)
	w.advance(time.Minute)
	w.requireState("dies in its trial", 2, 5, "it ended in its trial")
	if starts() != 4 {
		t.Errorf("%d starts: what was refused was tried again", starts())
	}
	w.publish(live)
	w.advance(time.Second)
	w.requireState("a good one after that", 6, 0, "")
	w.carryOut(w.exit(w.alive[0]))
	w.advance(3 * time.Second)
	w.requireState("its process died", 6, 0, "")

	w.noDigests = true
	w.publish(live)
	w.advance(30 * time.Second)
	w.requireState("a program that does not tell what it reads", 7, 0, "")
	if starts() != 6 {
		t.Errorf("%d starts", starts())
	}
	if w.maxProcesses > 2 {
		t.Errorf("%d processes", w.maxProcesses)
	}
}

// A version is in force once new connections are served with it: not while the old process still accepts some.
func TestInForce(t *testing.T) {
	w := newWorld(t)
	w.publish(good)
	w.advance(4 * time.Second)
	if r := w.sidecar.Report("n0"); r.InForce != 0 || r.Reason != "its process is on trial" || len(w.alive) != 2 {
		t.Errorf("%+v, %v", r, w.alive)
	}
	before := w.alive[0]
	w.carryOut(w.sidecar.ReadinessObserved(w.now, before, false))
	if r := w.sidecar.Report("n0"); r.InForce != 0 || w.sidecar.Phase != Trial {
		t.Errorf("%+v", r)
	}
	w.carryOut(w.sidecar.ReadinessObserved(w.now, before, true))
	for w.sidecar.Phase != Ending { // without the world's TERM
		w.now += 500 * time.Millisecond
		w.sidecar.ReadinessObserved(w.now, w.alive[1], true)
		w.sidecar.Tick(w.now)
	}
	w.sidecar.ReadinessObserved(w.now, before, true)
	if r := w.sidecar.Report("n0"); r.InForce != 0 || r.Reason != "the process before ends" {
		t.Errorf("%+v", r)
	}
	w.sidecar.ReadinessObserved(w.now, w.alive[1], false)
	w.sidecar.ReadinessObserved(w.now, before, false)
	if r := w.sidecar.Report("n0"); r.InForce != 0 { // neither process accepts any
		t.Errorf("%+v", r)
	}
	w.sidecar.ReadinessObserved(w.now, w.alive[1], true)
	w.sidecar.ReadinessObserved(w.now, before, false)
	if r := w.sidecar.Report("n0"); r.InForce != 1 || r.Reason != "" || w.sidecar.Phase != Ending {
		t.Errorf("%+v", r)
	}
	w.carryOut(w.sidecar.ProcessExited(w.now, w.alive[1], "")) // the version stays in force
	w.alive = w.alive[:1]
	w.carryOut(w.exit(before))
	w.advance(5 * time.Second)
	w.requireState("its process died as the one before ended", 1, 0, "")
	if w.sidecar.Rejected != 0 {
		t.Errorf("%+v", w.sidecar.PersistedState)
	}
}

// A version that is published while another is the candidate is applied next; one that was superseded meanwhile is not.
func TestVersionsInARow(t *testing.T) {
	w := newWorld(t)
	w.publish(good)
	w.advance(time.Second)
	w.publish(good)
	w.advance(time.Second)
	w.publish(neverReady)
	w.publish(good)
	w.sidecar.SetNewestVersion(2) // late
	w.advance(time.Second)
	if r := w.sidecar.Report("n0"); r.Reason != "revision 1 is on its way in" {
		t.Errorf("%+v", r)
	}
	w.advance(30 * time.Second)
	w.requireState("the newest", 4, 0, "")
	if w.sidecar.StartCount != 3 {
		t.Errorf("%d starts", w.sidecar.StartCount)
	}
}

// A version that arrives while the process reloads for another is applied as soon as that is in force.
func TestAVersionBehindAReload(t *testing.T) {
	w := newWorld(t)
	w.ignoresReload = true
	w.publish(live)
	w.advance(time.Second)
	if !w.sidecar.ByReload {
		t.Fatalf("%+v", w.sidecar.PersistedState)
	}
	w.publish(live)
	w.ignoresReload = false
	w.advance(2 * time.Second)
	w.requireState("both were read", 2, 0, "")
}

// Orders of a rollout take precedence: an order that finds a candidate is carried out as soon as that is applied, before the next
// version; an order in progress is not disturbed, and its result is not lost; a reload that was not confirmed gives way.
func TestVersionsAndOrders(t *testing.T) {
	w := newWorld(t)
	w.publish(good)
	w.advance(time.Second)
	if _, err := w.sidecar.ChangeRelease(w.now, 1, "new"); err == nil || !strings.Contains(err.Error(), "version 1 of the configuration is not over") {
		t.Errorf("%v", err)
	}
	w.publish(good)
	taken := false
	for end := w.now + time.Minute; !taken && w.now < end; w.advance(3 * time.Second) {
		todo, err := w.sidecar.ChangeRelease(w.now, 1, "new")
		taken = err == nil
		w.carryOut(todo)
	}
	if w.sidecar.InForce != 1 || w.sidecar.Order != 1 || w.sidecar.Candidate != 0 {
		t.Errorf("%+v", w.sidecar.PersistedState)
	}
	if r := w.sidecar.Report("n0"); r.Reason != "order 1 of a rollout goes on" {
		t.Errorf("%+v", r)
	}
	w.advance(30 * time.Second)
	w.requireState("both", 2, 0, "")
	if release, _ := w.sidecar.Serves(); release != "new" || w.sidecar.CompletedOrder != 1 || w.sidecar.FailureReason != "" {
		t.Errorf("%s, %+v", release, w.sidecar.PersistedState)
	}
	w.publish(neverReady)
	w.advance(30 * time.Second)
	w.requireState("refused", 2, 3, "not ready")
	if w.sidecar.CompletedOrder != 1 || w.sidecar.FailureReason != "" {
		t.Errorf("what came of the order: %+v", w.sidecar.PersistedState)
	}

	w.ignoresReload = true
	w.publish(live)
	w.advance(8 * time.Second)
	if r := w.sidecar.Report("n0"); r.InForce != 2 || r.Reason != "the process that serves was told to read it" {
		t.Errorf("%+v", r)
	}
	w.ignoresReload = false
	w.carryOut(must(w.sidecar.ChangeRelease(w.now, 2, "old")))
	if w.sidecar.Order != 2 || w.sidecar.Candidate != 0 {
		t.Errorf("%+v", w.sidecar.PersistedState)
	}
	w.advance(30 * time.Second)
	w.requireState("both again", 4, 0, "")
	if release, _ := w.sidecar.Serves(); release != "old" || w.sidecar.CompletedOrder != 2 || w.sidecar.FailureReason != "" {
		t.Errorf("%s, %+v", release, w.sidecar.PersistedState)
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// A reload is requested again from a process that missed the signal; the digest of an older file does not confirm it.
func TestAProcessThatIsStopped(t *testing.T) {
	w := newWorld(t)
	w.ignoresReload = true
	w.publish(live)
	w.advance(time.Minute)
	if r := w.sidecar.Report("n0"); r.InForce != 0 || w.sidecar.StartCount != 1 {
		t.Errorf("%+v, %d starts", r, w.sidecar.StartCount)
	}
	w.ignoresReload = false
	w.advance(testLimits.ReadyTimeout + time.Second)
	w.requireState("it goes on", 1, 0, "")
}

// A version is tried again after a failure that is not its fault: a check that cannot be made, a file that cannot be written, a start
// that fails.
func TestFailuresThatAreNotTheVersions(t *testing.T) {
	w := newWorld(t)
	w.checkUnavailable = true
	w.publish(good)
	w.advance(time.Minute)
	w.requireState("not asked", 0, 0, "no program")
	w.checkUnavailable = false
	w.advance(time.Minute)
	w.requireState("asked", 1, 0, "")

	w.publish(live)
	w.now += time.Second
	todo := w.sidecar.Tick(w.now)
	todo = w.sidecar.CheckCompleted(w.now, *todo[0].Check, CheckResult{Reloadable: true})
	if len(todo) != 1 || todo[0].Reload == nil {
		t.Fatalf("%+v", todo)
	}
	w.sidecar.ReloadRequested(w.now, *todo[0].Reload, "", errors.New("no room"))
	if r := w.sidecar.Report("n0"); r.Reason != "no room" || r.Refused != 0 {
		t.Errorf("%+v", r)
	}
	w.advance(5 * time.Second)
	w.requireState("written", 2, 0, "")

	w.publish(good)
	w.now += time.Second
	todo = w.sidecar.Tick(w.now)
	if todo = w.sidecar.CheckCompleted(w.now, *todo[0].Check, CheckResult{}); len(todo) != 1 || todo[0].Version != 3 {
		t.Fatalf("%+v", todo)
	}
	w.carryOut(w.sidecar.StartFailed(w.now, "no process"))
	if r := w.sidecar.Report("n0"); r.Reason != "no process" || r.Refused != 0 || w.sidecar.FailureReason != "" {
		t.Errorf("%+v", r)
	}
	w.advance(20 * time.Second)
	w.requireState("started", 3, 0, "")
}

// The confirmed release, which a crash would bring back, has to accept a version as well as the one that runs.
func TestBothReleasesAreChecked(t *testing.T) {
	w := newWorld(t)
	w.carryOut(must(w.sidecar.ChangeRelease(w.now, 1, "new")))
	w.advance(20 * time.Second)
	w.publish(good)
	w.now += time.Second
	todo := w.sidecar.Tick(w.now)
	if len(todo) != 1 || todo[0].Check == nil || todo[0].Check.Releases != [2]string{"new", "old"} {
		t.Fatalf("%+v", todo)
	}
	w.sidecar.Confirm("new") // meanwhile: the result belongs to another check
	if todo = w.sidecar.CheckCompleted(w.now, *todo[0].Check, CheckResult{Rejection: "no"}); len(todo) != 1 || todo[0].Check.Releases != [2]string{"new"} {
		t.Fatalf("%+v", todo)
	}
}

// A newer version is applied to a sidecar that crashes again and again with the one in force; a single exit is restarted with the one in
// force.
func TestANewerVersionEndsACrashLoop(t *testing.T) {
	w := newWorld(t)
	w.publish(good)
	w.advance(20 * time.Second)
	w.requireState("in force", 1, 0, "")
	w.publish(good)
	w.carryOut(w.exit(w.alive[0]))
	var first Action
	w.checkAction = func(d Action) {
		if first.Start == "" && d.Start != "" {
			first = d
		}
	}
	w.advance(30 * time.Second)
	if first.Version != 1 {
		t.Errorf("started with version %d", first.Version)
	}
	w.requireState("then the newer one", 2, 0, "")

	w.kinds[2] = diesAtOnce // from now on
	w.advance(20 * time.Second)
	w.publish(good)
	w.advance(30 * time.Second)
	w.requireState("mended", 3, 0, "")
}

// Whatever happens, with an agent that is killed at any moment: there are never more than two processes; the version in force never
// becomes an older one; a rejected version is not tried again; a process that is not started for a candidate has the version in force;
// each order is carried out, and its result stays known; and in the end the newest version is in force or rejected.
func TestVersionsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(t)
		var refused []distribute.Revision
		var inForce distribute.Revision
		var order uint64
		ended := map[uint64]string{}
		excused := map[distribute.Revision]bool{} // its process was killed from outside
		look := func() {
			if w.sidecar.InForce < inForce {
				r.Fatalf("%d is in force after %d", w.sidecar.InForce, inForce)
			}
			inForce = w.sidecar.InForce
			if w.sidecar.Rejected != 0 && !slices.Contains(refused, w.sidecar.Rejected) {
				refused = append(refused, w.sidecar.Rejected)
				if k := w.kinds[w.sidecar.Rejected]; k <= live && !excused[w.sidecar.Rejected] {
					r.Fatalf("%d was refused, and is good: %s", w.sidecar.Rejected, w.sidecar.RejectionReason)
				}
			}
			if slices.Contains(refused, inForce) {
				r.Fatalf("%d was refused, and is in force", inForce)
			}
			if w.sidecar.Order == 0 { // else the last result is overwritten
				if failed, known := ended[w.sidecar.CompletedOrder]; known && failed != w.sidecar.FailureReason {
					r.Fatalf("order %d ended with %q, and now with %q", w.sidecar.CompletedOrder, failed, w.sidecar.FailureReason)
				}
				ended[w.sidecar.CompletedOrder] = w.sidecar.FailureReason
			}
			if len(w.alive) > 2 {
				r.Fatalf("%d processes", len(w.alive))
			}
		}
		w.checkAction = func(d Action) {
			look()
			switch {
			case d.Reload != nil && (d.Version != w.sidecar.Candidate || slices.Contains(refused, d.Version)),
				d.Start != "" && d.Version != w.sidecar.InForce && (d.Version != w.sidecar.Candidate || w.sidecar.Phase != Starting || w.sidecar.Order != 0),
				d.Start != "" && slices.Contains(refused, d.Version):
				r.Fatalf("%+v, refused %v, kept %+v", d, refused, w.sidecar.PersistedState)
			}
		}
		step := func(d time.Duration) {
			w.advance(d)
			look()
			if order > w.sidecar.CompletedOrder { // the driver repeats it
				if todo, err := w.sidecar.ChangeRelease(w.now, order, []string{"old", "new"}[order%2]); err == nil {
					w.carryOut(todo)
				}
			}
		}
		kills := rapid.IntRange(0, 40).Draw(r, "a kill in so many") // 0: none
		w.agentKilled = func() bool { return kills > 0 && rapid.IntRange(0, kills).Draw(r, "killed") == 0 }
		for range rapid.IntRange(1, 25).Draw(r, "events") {
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0, 1, 2:
				w.publish(versionKind(rapid.IntRange(0, int(kinds)-1).Draw(r, "kind")))
			case 3:
				if order == w.sidecar.CompletedOrder {
					order++
				}
			case 4:
				if len(w.alive) > 0 {
					p := w.alive[rapid.IntRange(0, len(w.alive)-1).Draw(r, "which")]
					excused[w.runningVersions[p.PID]] = true
					w.carryOut(w.exit(p))
				}
			case 5:
				w.save()
				w.restartAgent()
			case 6:
				w.ignoresReload = !w.ignoresReload
			case 7:
				w.checkUnavailable = !w.checkUnavailable
			}
			for range rapid.IntRange(0, 20).Draw(r, "half seconds") {
				step(500 * time.Millisecond)
			}
		}
		w.agentKilled, w.ignoresReload, w.checkUnavailable = func() bool { return false }, false, false
		for range 300 {
			step(time.Second)
		}
		if w.sidecar.CompletedOrder != order || w.sidecar.Phase != Idle || len(w.alive) != 1 || w.newest > max(w.sidecar.InForce, w.sidecar.Rejected) {
			r.Fatalf("order %d of %d over, %v, version %d of %d in force, %d refused, %v", w.sidecar.CompletedOrder, order, w.sidecar.Phase, w.sidecar.InForce, w.newest, w.sidecar.Rejected, w.alive)
		}
		if w.runningVersions[w.alive[0].PID] != w.sidecar.InForce {
			r.Fatalf("it runs %d, and %d is in force", w.runningVersions[w.alive[0].PID], w.sidecar.InForce)
		}
		if w.maxProcesses > 2 {
			r.Fatalf("%d processes at once", w.maxProcesses)
		}
	})
}
