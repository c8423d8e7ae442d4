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

// versionKind is the way in which a version is applied, or in which its application fails.
type versionKind uint8

const (
	byChange          versionKind = iota // applied by a change
	byReload                             // applied by a reload
	rejectedByProgram                    // a release's program rejects it in the check
	neverReady                           // its process never becomes ready
	exitsInTrial                         // its process exits in its trial
	exitsBeforeReady                     // its process exits before it is ready
	versionKindCount                     // the number of kinds
)

// simulation carries out the actions of a sidecar on simulated processes that run versions of the configuration. Its agent may be
// killed between any two actions.
type simulation struct {
	t                testing.TB
	sidecar          *Sidecar
	now              time.Duration
	lastPID          int
	alive            []Process
	runningVersions  map[int]distribute.Revision // by PID: the version that the process read
	readySince       map[int]time.Duration       // by PID: when the process first was ready
	kinds            map[distribute.Revision]versionKind
	newest           distribute.Revision
	noDigests        bool            // processes report no digest
	ignoresReload    bool            // processes do not receive the reload signal
	checkUnavailable bool            // checks cannot be made
	agentKilled      func() bool     // reports whether the agent is killed at this point
	checkAction      func(Action)    // checks the invariants of each action
	persisted        json.RawMessage // the state on the disk
	unnotedStart     *Process        // started by an agent that was killed before it persisted the process
	maxProcesses     int
}

func newSimulation(t testing.TB) *simulation {
	sim := &simulation{t: t, runningVersions: map[int]distribute.Revision{}, readySince: map[int]time.Duration{}, kinds: map[distribute.Revision]versionKind{},
		agentKilled: func() bool { return false }, checkAction: func(Action) {}}
	sim.sidecar = New("old", testLimits)
	sim.carryOut(sim.sidecar.Tick(0))
	sim.advance(time.Second)
	return sim
}

// save persists the sidecar's state.
func (sim *simulation) save() {
	text, err := json.Marshal(sim.sidecar.PersistedState)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.persisted = text
}

// carryOut carries out actions. It returns false if the agent was killed and restarted; the remaining actions are then lost.
func (sim *simulation) carryOut(actions []Action) bool {
	for len(actions) > 0 {
		sim.save()
		if sim.agentKilled() {
			sim.restartAgent()
			return false
		}
		action := actions[0]
		actions = actions[1:]
		sim.checkAction(action)
		switch {
		case action.Start != "":
			sim.lastPID++
			p := Process{PID: sim.lastPID, StartTicks: uint64(sim.lastPID), Release: action.Start, StartNumber: sim.sidecar.StartCount}
			sim.alive, sim.runningVersions[sim.lastPID] = append(sim.alive, p), action.Version
			sim.maxProcesses = max(sim.maxProcesses, len(sim.alive))
			if sim.unnotedStart = &p; sim.agentKilled() {
				sim.restartAgent()
				return false
			}
			sim.unnotedStart = nil
			actions = append(actions, sim.sidecar.ProcessStarted(sim.now, p)...)
		case action.Term != nil:
			actions = append(actions, sim.exit(*action.Term)...)
		case action.Kill != nil:
			actions = append(actions, sim.exit(*action.Kill)...)
		case action.Reload != nil:
			if !sim.ignoresReload && slices.Contains(sim.alive, *action.Reload) {
				sim.runningVersions[action.Reload.PID] = action.Version
			}
			sim.sidecar.ReloadRequested(sim.now, *action.Reload, digest(action.Version), nil)
		case action.Check != nil:
			result := CheckResult{Reloadable: sim.kinds[action.Check.Version] == byReload}
			if sim.kinds[action.Check.Version] == rejectedByProgram {
				result.Rejection = "f.json:1:2: field: is bad"
			}
			if sim.checkUnavailable {
				result = CheckResult{Unavailable: "no program"}
			}
			actions = append(actions, sim.sidecar.CheckCompleted(sim.now, *action.Check, result)...)
		}
	}
	sim.save()
	return true
}

// digest returns the digest of the file that a process with a version has read.
func digest(r distribute.Revision) string { return fmt.Sprint("of ", r) }

// exit ends a process, reports it, and returns the actions that follow.
func (sim *simulation) exit(p Process) []Action {
	i := slices.Index(sim.alive, p)
	if i < 0 {
		return nil
	}
	sim.alive = slices.Delete(sim.alive, i, i+1)
	return sim.sidecar.ProcessExited(sim.now, p, "")
}

// restartAgent restores the sidecar from the persisted state.
func (sim *simulation) restartAgent() {
	killed := sim.agentKilled
	sim.agentKilled = func() bool { return false }
	var state PersistedState
	if err := json.Unmarshal(sim.persisted, &state); err != nil {
		sim.t.Fatal(err)
	}
	var found *Process
	if p := sim.unnotedStart; p != nil && slices.Contains(sim.alive, *p) && state.StartCount == p.StartNumber {
		found = p
	}
	sim.unnotedStart = nil
	s, actions := Restore(state, testLimits, sim.now, func(p Process) bool { return slices.Contains(sim.alive, p) }, found)
	sim.sidecar = s
	sim.sidecar.SetNewestVersion(sim.newest)
	sim.carryOut(actions)
	sim.agentKilled = killed
}

// publish gives the agent a newer version of the given kind.
func (sim *simulation) publish(kind versionKind) {
	sim.newest++
	sim.kinds[sim.newest] = kind
	sim.sidecar.SetNewestVersion(sim.newest)
}

// advance lets time pass, probes the processes and ticks the sidecar.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += 500 * time.Millisecond
		for _, p := range slices.Clone(sim.alive) {
			kind := sim.kinds[sim.runningVersions[p.PID]]
			if kind == exitsBeforeReady || kind == exitsInTrial && sim.readySince[p.PID] != 0 && sim.now-sim.readySince[p.PID] > 2*time.Second {
				sim.carryOut(sim.exit(p))
				continue
			}
			ready := kind != neverReady
			if ready && sim.readySince[p.PID] == 0 {
				sim.readySince[p.PID] = sim.now
			}
			if !sim.carryOut(sim.sidecar.ReadinessObserved(sim.now, p, ready)) {
				continue
			}
			if read := digest(sim.runningVersions[p.PID]); sim.noDigests {
				sim.sidecar.DigestReported(p, "")
			} else {
				sim.sidecar.DigestReported(p, read)
			}
		}
		sim.carryOut(sim.sidecar.Tick(sim.now))
	}
}

// requireState checks the reported versions in force and rejected and the reason, and that a single process runs the version in
// force.
func (sim *simulation) requireState(what string, inForce, rejected distribute.Revision, reason string) {
	sim.t.Helper()
	r := sim.sidecar.Report("n0")
	if r.InForce != inForce || r.Refused != rejected || !strings.Contains(r.Reason, reason) || reason == "" && r.Reason != "" ||
		len(sim.alive) != 1 || sim.runningVersions[sim.alive[0].PID] != inForce || sim.sidecar.Phase != Idle {
		sim.t.Errorf("%s: %+v, %v, processes %v run %v", what, r, sim.sidecar.Phase, sim.alive, sim.runningVersions)
	}
}

// Applies and rejects versions in each possible way, one after the other: a rejected version does not affect the one in force and
// is not tried again, and the next version is applied.
func TestVersions(t *testing.T) {
	sim := newSimulation(t)
	starts := func() uint64 { return sim.sidecar.StartCount }
	sim.publish(byReload)
	sim.advance(time.Second)
	sim.requireState("by a reload", 1, 0, "")
	if starts() != 1 {
		t.Errorf("%d starts", starts())
	}
	sim.publish(byChange)
	sim.advance(20 * time.Second)
	sim.requireState("by a change", 2, 0, "")
	sim.publish(rejectedByProgram)
	sim.advance(time.Minute)
	sim.requireState("rejected by its program", 2, 3, "f.json:1:2: field: is bad")
	if starts() != 2 {
		t.Errorf("%d starts", starts())
	}
	sim.publish(neverReady)
	sim.advance(time.Minute)
	sim.requireState("never ready", 2, 4, "not ready in 6s")
	sim.publish(exitsInTrial)
	sim.advance(time.Minute)
	sim.requireState("exits in its trial", 2, 5, "it ended in its trial")
	if starts() != 4 {
		t.Errorf("%d starts: a rejected version was tried again", starts())
	}
	sim.publish(byReload)
	sim.advance(time.Second)
	sim.requireState("the next version after rejections", 6, 0, "")
	sim.carryOut(sim.exit(sim.alive[0]))
	sim.advance(3 * time.Second)
	sim.requireState("its process exited", 6, 0, "")

	sim.noDigests = true
	sim.publish(byReload)
	sim.advance(30 * time.Second)
	sim.requireState("a program that reports no digest", 7, 0, "")
	if starts() != 6 {
		t.Errorf("%d starts", starts())
	}
	if sim.maxProcesses > 2 {
		t.Errorf("%d processes", sim.maxProcesses)
	}
}

// A version is in force only once all new connections are served with it, not while the old process still accepts some.
func TestInForce(t *testing.T) {
	sim := newSimulation(t)
	sim.publish(byChange)
	sim.advance(4 * time.Second)
	if r := sim.sidecar.Report("n0"); r.InForce != 0 || r.Reason != "its process is on trial" || len(sim.alive) != 2 {
		t.Errorf("%+v, %v", r, sim.alive)
	}
	before := sim.alive[0]
	sim.carryOut(sim.sidecar.ReadinessObserved(sim.now, before, false))
	if r := sim.sidecar.Report("n0"); r.InForce != 0 || sim.sidecar.Phase != Trial {
		t.Errorf("%+v", r)
	}
	sim.carryOut(sim.sidecar.ReadinessObserved(sim.now, before, true))
	for sim.sidecar.Phase != Ending { // without carrying out the SIGTERM
		sim.now += 500 * time.Millisecond
		sim.sidecar.ReadinessObserved(sim.now, sim.alive[1], true)
		sim.sidecar.Tick(sim.now)
	}
	sim.sidecar.ReadinessObserved(sim.now, before, true)
	if r := sim.sidecar.Report("n0"); r.InForce != 0 || r.Reason != "the process before ends" {
		t.Errorf("%+v", r)
	}
	sim.sidecar.ReadinessObserved(sim.now, sim.alive[1], false)
	sim.sidecar.ReadinessObserved(sim.now, before, false)
	if r := sim.sidecar.Report("n0"); r.InForce != 0 { // neither process accepts connections
		t.Errorf("%+v", r)
	}
	sim.sidecar.ReadinessObserved(sim.now, sim.alive[1], true)
	sim.sidecar.ReadinessObserved(sim.now, before, false)
	if r := sim.sidecar.Report("n0"); r.InForce != 1 || r.Reason != "" || sim.sidecar.Phase != Ending {
		t.Errorf("%+v", r)
	}
	sim.carryOut(sim.sidecar.ProcessExited(sim.now, sim.alive[1], "")) // the version stays in force
	sim.alive = sim.alive[:1]
	sim.carryOut(sim.exit(before))
	sim.advance(5 * time.Second)
	sim.requireState("its process exited while the old process was terminating", 1, 0, "")
	if sim.sidecar.Rejected != 0 {
		t.Errorf("%+v", sim.sidecar.PersistedState)
	}
}

// A version that is published while another one is the candidate is applied next, unless it was superseded by then.
func TestVersionsInARow(t *testing.T) {
	sim := newSimulation(t)
	sim.publish(byChange)
	sim.advance(time.Second)
	sim.publish(byChange)
	sim.advance(time.Second)
	sim.publish(neverReady)
	sim.publish(byChange)
	sim.sidecar.SetNewestVersion(2) // an outdated version, reported late
	sim.advance(time.Second)
	if r := sim.sidecar.Report("n0"); r.Reason != "revision 1 is on its way in" {
		t.Errorf("%+v", r)
	}
	sim.advance(30 * time.Second)
	sim.requireState("the newest", 4, 0, "")
	if sim.sidecar.StartCount != 3 {
		t.Errorf("%d starts", sim.sidecar.StartCount)
	}
}

// A version that arrives during the reload for another version is applied as soon as that one is in force.
func TestAVersionBehindAReload(t *testing.T) {
	sim := newSimulation(t)
	sim.ignoresReload = true
	sim.publish(byReload)
	sim.advance(time.Second)
	if !sim.sidecar.ByReload {
		t.Fatalf("%+v", sim.sidecar.PersistedState)
	}
	sim.publish(byReload)
	sim.ignoresReload = false
	sim.advance(2 * time.Second)
	sim.requireState("both versions were read", 2, 0, "")
}

// Orders of a rollout take precedence over versions. An order that arrives while a candidate is applied is carried out right
// after it, before the next version. Versions neither disturb an order in progress nor overwrite its result. An order withdraws a
// reload that the process has not confirmed.
func TestVersionsAndOrders(t *testing.T) {
	sim := newSimulation(t)
	sim.publish(byChange)
	sim.advance(time.Second)
	if _, err := sim.sidecar.ChangeRelease(sim.now, 1, "new"); err == nil || !strings.Contains(err.Error(), "version 1 of the configuration is not over") {
		t.Errorf("%v", err)
	}
	sim.publish(byChange)
	accepted := false
	for end := sim.now + time.Minute; !accepted && sim.now < end; sim.advance(3 * time.Second) {
		actions, err := sim.sidecar.ChangeRelease(sim.now, 1, "new")
		accepted = err == nil
		sim.carryOut(actions)
	}
	if sim.sidecar.InForce != 1 || sim.sidecar.Order != 1 || sim.sidecar.Candidate != 0 {
		t.Errorf("%+v", sim.sidecar.PersistedState)
	}
	if r := sim.sidecar.Report("n0"); r.Reason != "order 1 of a rollout goes on" {
		t.Errorf("%+v", r)
	}
	sim.advance(30 * time.Second)
	sim.requireState("order and version", 2, 0, "")
	if release, _ := sim.sidecar.Serves(); release != "new" || sim.sidecar.CompletedOrder != 1 || sim.sidecar.FailureReason != "" {
		t.Errorf("%s, %+v", release, sim.sidecar.PersistedState)
	}
	sim.publish(neverReady)
	sim.advance(30 * time.Second)
	sim.requireState("rejected", 2, 3, "not ready")
	if sim.sidecar.CompletedOrder != 1 || sim.sidecar.FailureReason != "" {
		t.Errorf("the result of the order was lost: %+v", sim.sidecar.PersistedState)
	}

	sim.ignoresReload = true
	sim.publish(byReload)
	sim.advance(8 * time.Second)
	if r := sim.sidecar.Report("n0"); r.InForce != 2 || r.Reason != "the process that serves was told to read it" {
		t.Errorf("%+v", r)
	}
	sim.ignoresReload = false
	sim.carryOut(must(sim.sidecar.ChangeRelease(sim.now, 2, "old")))
	if sim.sidecar.Order != 2 || sim.sidecar.Candidate != 0 {
		t.Errorf("%+v", sim.sidecar.PersistedState)
	}
	sim.advance(30 * time.Second)
	sim.requireState("order and version again", 4, 0, "")
	if release, _ := sim.sidecar.Serves(); release != "old" || sim.sidecar.CompletedOrder != 2 || sim.sidecar.FailureReason != "" {
		t.Errorf("%s, %+v", release, sim.sidecar.PersistedState)
	}
}

// must returns v, and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// A reload is requested again from a process that missed the signal. The digest of an older file does not confirm it.
func TestMissedReloadIsRepeated(t *testing.T) {
	sim := newSimulation(t)
	sim.ignoresReload = true
	sim.publish(byReload)
	sim.advance(time.Minute)
	if r := sim.sidecar.Report("n0"); r.InForce != 0 || sim.sidecar.StartCount != 1 {
		t.Errorf("%+v, %d starts", r, sim.sidecar.StartCount)
	}
	sim.ignoresReload = false
	sim.advance(testLimits.ReadyTimeout + time.Second)
	sim.requireState("the process reloads", 1, 0, "")
}

// A version is tried again after a failure that it did not cause: a check that cannot be made, a file that cannot be written, or
// a start that fails.
func TestVersionIsRetriedAfterUnrelatedFailures(t *testing.T) {
	sim := newSimulation(t)
	sim.checkUnavailable = true
	sim.publish(byChange)
	sim.advance(time.Minute)
	sim.requireState("not checked", 0, 0, "no program")
	sim.checkUnavailable = false
	sim.advance(time.Minute)
	sim.requireState("checked", 1, 0, "")

	sim.publish(byReload)
	sim.now += time.Second
	actions := sim.sidecar.Tick(sim.now)
	actions = sim.sidecar.CheckCompleted(sim.now, *actions[0].Check, CheckResult{Reloadable: true})
	if len(actions) != 1 || actions[0].Reload == nil {
		t.Fatalf("%+v", actions)
	}
	sim.sidecar.ReloadRequested(sim.now, *actions[0].Reload, "", errors.New("no room"))
	if r := sim.sidecar.Report("n0"); r.Reason != "no room" || r.Refused != 0 {
		t.Errorf("%+v", r)
	}
	sim.advance(5 * time.Second)
	sim.requireState("written", 2, 0, "")

	sim.publish(byChange)
	sim.now += time.Second
	actions = sim.sidecar.Tick(sim.now)
	if actions = sim.sidecar.CheckCompleted(sim.now, *actions[0].Check, CheckResult{}); len(actions) != 1 || actions[0].Version != 3 {
		t.Fatalf("%+v", actions)
	}
	sim.carryOut(sim.sidecar.StartFailed(sim.now, "no process"))
	if r := sim.sidecar.Report("n0"); r.Reason != "no process" || r.Refused != 0 || sim.sidecar.FailureReason != "" {
		t.Errorf("%+v", r)
	}
	sim.advance(20 * time.Second)
	sim.requireState("started", 3, 0, "")
}

// A version has to be accepted by the running release and also by the confirmed one, because a crash causes a fallback to the
// latter.
func TestBothReleasesAreChecked(t *testing.T) {
	sim := newSimulation(t)
	sim.carryOut(must(sim.sidecar.ChangeRelease(sim.now, 1, "new")))
	sim.advance(20 * time.Second)
	sim.publish(byChange)
	sim.now += time.Second
	actions := sim.sidecar.Tick(sim.now)
	if len(actions) != 1 || actions[0].Check == nil || actions[0].Check.Releases != [2]string{"new", "old"} {
		t.Fatalf("%+v", actions)
	}
	sim.sidecar.Confirm("new") // the result of the pending check is outdated by this
	if actions = sim.sidecar.CheckCompleted(sim.now, *actions[0].Check, CheckResult{Rejection: "no"}); len(actions) != 1 || actions[0].Check.Releases != [2]string{"new"} {
		t.Fatalf("%+v", actions)
	}
}

// A newer version is applied to a sidecar that crashes repeatedly with the version in force. After a single exit, the process is
// restarted with the version in force.
func TestANewerVersionEndsACrashLoop(t *testing.T) {
	sim := newSimulation(t)
	sim.publish(byChange)
	sim.advance(20 * time.Second)
	sim.requireState("in force", 1, 0, "")
	sim.publish(byChange)
	sim.carryOut(sim.exit(sim.alive[0]))
	var first Action
	sim.checkAction = func(action Action) {
		if first.Start == "" && action.Start != "" {
			first = action
		}
	}
	sim.advance(30 * time.Second)
	if first.Version != 1 {
		t.Errorf("started with version %d", first.Version)
	}
	sim.requireState("the newer version after repeated crashes", 2, 0, "")

	sim.kinds[2] = exitsBeforeReady // from now on
	sim.advance(20 * time.Second)
	sim.publish(byChange)
	sim.advance(30 * time.Second)
	sim.requireState("the version after the faulty one", 3, 0, "")
}

// Under random versions, orders, exits, failures and kills of the agent: there are never more than two processes; the version in
// force is never replaced by an older one; a rejected version is not tried again; a process that is not started for a candidate
// has the version in force; each order is carried out, and its result is not overwritten; and in the end the newest version is in
// force or rejected.
func TestVersionsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(t)
		var rejected []distribute.Revision
		var inForce distribute.Revision
		var order uint64
		results := map[uint64]string{}            // by order: its FailureReason
		excused := map[distribute.Revision]bool{} // its process was killed by the test
		checkInvariants := func() {
			if sim.sidecar.InForce < inForce {
				r.Fatalf("version %d is in force after version %d", sim.sidecar.InForce, inForce)
			}
			inForce = sim.sidecar.InForce
			if sim.sidecar.Rejected != 0 && !slices.Contains(rejected, sim.sidecar.Rejected) {
				rejected = append(rejected, sim.sidecar.Rejected)
				if kind := sim.kinds[sim.sidecar.Rejected]; kind <= byReload && !excused[sim.sidecar.Rejected] {
					r.Fatalf("version %d was rejected without a fault of its own: %s", sim.sidecar.Rejected, sim.sidecar.RejectionReason)
				}
			}
			if slices.Contains(rejected, inForce) {
				r.Fatalf("version %d was rejected, and is in force", inForce)
			}
			if sim.sidecar.Order == 0 { // otherwise the order in progress has cleared the last result
				if reason, known := results[sim.sidecar.CompletedOrder]; known && reason != sim.sidecar.FailureReason {
					r.Fatalf("order %d ended with %q, and now with %q", sim.sidecar.CompletedOrder, reason, sim.sidecar.FailureReason)
				}
				results[sim.sidecar.CompletedOrder] = sim.sidecar.FailureReason
			}
			if len(sim.alive) > 2 {
				r.Fatalf("%d processes", len(sim.alive))
			}
		}
		sim.checkAction = func(action Action) {
			checkInvariants()
			switch {
			case action.Reload != nil && (action.Version != sim.sidecar.Candidate || slices.Contains(rejected, action.Version)),
				action.Start != "" && action.Version != sim.sidecar.InForce && (action.Version != sim.sidecar.Candidate || sim.sidecar.Phase != Starting || sim.sidecar.Order != 0),
				action.Start != "" && slices.Contains(rejected, action.Version):
				r.Fatalf("%+v, rejected %v, persisted %+v", action, rejected, sim.sidecar.PersistedState)
			}
		}
		step := func(d time.Duration) {
			sim.advance(d)
			checkInvariants()
			if order > sim.sidecar.CompletedOrder { // the driver repeats it
				if actions, err := sim.sidecar.ChangeRelease(sim.now, order, []string{"old", "new"}[order%2]); err == nil {
					sim.carryOut(actions)
				}
			}
		}
		kills := rapid.IntRange(0, 40).Draw(r, "kill one in") // 0: none
		sim.agentKilled = func() bool { return kills > 0 && rapid.IntRange(0, kills).Draw(r, "killed") == 0 }
		for range rapid.IntRange(1, 25).Draw(r, "events") {
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0, 1, 2:
				sim.publish(versionKind(rapid.IntRange(0, int(versionKindCount)-1).Draw(r, "kind")))
			case 3:
				if order == sim.sidecar.CompletedOrder {
					order++
				}
			case 4:
				if len(sim.alive) > 0 {
					p := sim.alive[rapid.IntRange(0, len(sim.alive)-1).Draw(r, "which")]
					excused[sim.runningVersions[p.PID]] = true
					sim.carryOut(sim.exit(p))
				}
			case 5:
				sim.save()
				sim.restartAgent()
			case 6:
				sim.ignoresReload = !sim.ignoresReload
			case 7:
				sim.checkUnavailable = !sim.checkUnavailable
			}
			for range rapid.IntRange(0, 20).Draw(r, "half seconds") {
				step(500 * time.Millisecond)
			}
		}
		sim.agentKilled, sim.ignoresReload, sim.checkUnavailable = func() bool { return false }, false, false
		for range 300 {
			step(time.Second)
		}
		if sim.sidecar.CompletedOrder != order || sim.sidecar.Phase != Idle || len(sim.alive) != 1 || sim.newest > max(sim.sidecar.InForce, sim.sidecar.Rejected) {
			r.Fatalf("order %d of %d completed, %v, version %d of %d in force, %d rejected, processes %v", sim.sidecar.CompletedOrder, order, sim.sidecar.Phase, sim.sidecar.InForce, sim.newest, sim.sidecar.Rejected, sim.alive)
		}
		if sim.runningVersions[sim.alive[0].PID] != sim.sidecar.InForce {
			r.Fatalf("the process runs version %d, and version %d is in force", sim.runningVersions[sim.alive[0].PID], sim.sidecar.InForce)
		}
		if sim.maxProcesses > 2 {
			r.Fatalf("%d processes at once", sim.maxProcesses)
		}
	})
}
