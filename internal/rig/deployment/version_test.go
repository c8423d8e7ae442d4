package deployment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/link"
)

// listed is a deployment whose servers are listed at two addresses, and whose agents receive versions.
type listed struct {
	*LoadTest
	lists [2]*link.Link // both lead to the one list
}

func newListed(t *testing.T, rate int) *listed {
	t.Helper()
	s := &listed{}
	s.LoadTest = newLoadTest(t, 6, rate, "", func(d *Deployment) {
		d.SubscribeVersions = true
		d.Discovery = func(addr string) string {
			for i := range s.lists {
				s.lists[i] = d.NewLink()
				s.lists[i].SetTarget(addr)
			}
			return s.lists[0].Addr
		}
	})
	return s
}

// live is a version that sidecars reload for; changed is one that needs a new process.
func (s *listed) live(list int) string { return fmt.Sprintf(`{"discovery": %q}`, s.lists[list].Addr) }

func (s *listed) changed(list int, from, to string) string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(strings.Replace(string(s.Settings), from, to, 1)), &fields); err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"discovery": %q, "settings": %s}`, s.lists[list].Addr, fields["settings"])
}

func (s *listed) quantum(list, ms int) string {
	return s.changed(list, `"quantum_ms":2`, fmt.Sprintf(`"quantum_ms":%d`, ms))
}

// serving returns the serving processes of all sidecars.
func (s *listed) serving() (all []int) {
	for _, a := range s.Agents {
		for _, k := range a.PersistedStates() {
			if k.Serving != nil {
				all = append(all, k.Serving.PID)
			}
		}
	}
	return all
}

// A version is published once and comes into force on all sidecars: one that they reload for, without a new process, and one that needs
// new processes. No request is affected.
func TestAVersionInForceOnAll(t *testing.T) { simulate(t, testAVersionInForceOnAll) }

func testAVersionInForceOnAll(t *testing.T) {
	s := newListed(t, 240)
	end := s.WatchRevisions(t)
	before := s.serving()
	took := s.AwaitInForce(20*time.Second, s.Publish(s.live(1)))
	if after := s.serving(); fmt.Sprint(after) != fmt.Sprint(before) {
		t.Errorf("processes %v after %v", after, before)
	}
	t.Logf("as they run: %v", took.Round(10*time.Millisecond))
	moved := fmt.Sprintf(`msg=reloaded discovery=%s moved=true`, s.lists[1].Addr)
	s.lists[0].Block(link.Backward, true) // it is no longer used
	for _, a := range s.Agents {
		for _, name := range []string{"n00", "n01", "n02", "n03", "n04", "n05"} {
			if text, err := os.ReadFile(filepath.Join(a.Dir, "data", "log-"+name+"-1")); err == nil && !strings.Contains(string(text), moved) {
				t.Errorf("%s has not moved", name)
			}
		}
	}
	revision := s.Publish(s.quantum(1, 3))
	t.Logf("by a hand-over: %v", s.AwaitInForce(30*time.Second, revision).Round(10*time.Millisecond))
	await.Eventually(t, "those before have ended", func() bool {
		now := s.serving()
		for i := range now {
			if len(now) != len(before) || now[i] == before[i] {
				return false
			}
		}
		return true
	})
	for _, a := range s.Agents {
		for _, k := range a.PersistedStates() {
			files, _ := filepath.Glob(filepath.Join(a.Dir, "data", fmt.Sprintf("config-*-%d", k.Serving.StartNumber)))
			for _, f := range files {
				if text, _ := os.ReadFile(f); !strings.Contains(string(text), `"quantum_ms":3`) || !strings.Contains(string(text), s.lists[1].Addr) {
					t.Errorf("%s: %s", f, text)
				}
			}
		}
	}
	end()
	s.Check()
}

// A version that the sidecar's program rejects is refused by all, each with the line that the program wrote; the version in force goes on
// serving, and a later good one is applied.
func TestAVersionThatTheSidecarRefuses(t *testing.T) { simulate(t, testAVersionThatTheSidecarRefuses) }

func testAVersionThatTheSidecarRefuses(t *testing.T) {
	s := newListed(t, 120)
	end := s.WatchRevisions(t)
	first := s.Publish(s.live(1))
	s.AwaitInForce(20*time.Second, first)
	before := s.serving()
	bad := s.Publish(s.changed(1, `"effect":"read_like"`, `"effect":"odd"`))
	s.AwaitSummary(20*time.Second, "all have refused it", func(sum distribute.Summary) bool {
		n := 0
		for _, m := range sum.Sidecars {
			if m.Refused == bad {
				n++
			}
		}
		return n == 6
	})
	sum := s.InForce()
	if sum.Newest != bad || sum.InForce != 0 || sum.Reported != 6 {
		t.Errorf("%+v", sum)
	}
	for _, m := range sum.Sidecars {
		place, rest, _ := strings.Cut(strings.TrimPrefix(m.Reason, "petrelhook: "), ".json:")
		var line, column int
		fmt.Sscanf(rest, "%d:%d:", &line, &column)
		text, _ := os.ReadFile(place + ".json")
		lines := strings.Split(string(text), "\n")
		if m.InForce != first || !strings.Contains(m.Reason, `effect: unknown effect "odd"`) || strings.Contains(m.Reason, "\n") || line < 1 || line > len(lines) ||
			!strings.HasPrefix(lines[line-1][column-1:], `"odd"`) {
			t.Errorf("%+v", m)
		}
	}
	if after := s.serving(); fmt.Sprint(after) != fmt.Sprint(before) {
		t.Errorf("processes %v after %v", after, before)
	}
	s.AwaitInForce(30*time.Second, s.Publish(s.quantum(1, 3)))
	end()
	s.Check()
}

// Two versions within a second: the newer one comes into force on all, whichever way each is applied, and never an older one again.
func TestTwoVersionsWithinASecond(t *testing.T) { simulate(t, testTwoVersionsWithinASecond) }

func testTwoVersionsWithinASecond(t *testing.T) {
	s := newListed(t, 200)
	end := s.WatchRevisions(t)
	for i, texts := range [][2]string{{s.quantum(0, 3), s.quantum(0, 4)}, {s.live(0), s.live(1)}, {s.live(0), s.quantum(1, 5)}, {s.quantum(0, 6), s.live(1)}} {
		began := time.Now()
		s.Publish(texts[0])
		<-time.After(rand.N(700 * time.Millisecond)) // at a random moment of the first one's application
		newer := s.Publish(texts[1])
		if gap := time.Since(began); gap > time.Second {
			t.Logf("they are %v apart", gap)
		}
		t.Logf("pair %d: %v", i, s.AwaitInForce(20*time.Second, newer).Round(10*time.Millisecond))
	}
	end()
	for _, a := range s.Agents {
		if n := strings.Count(a.Log.String(), "msg=started"); n > 3+2*3*4 {
			t.Errorf("%d starts", n)
		}
	}
	s.Check()
}

// A version is published during a rollout, and a rollout begins while a version is applied: both complete on all sidecars, and the
// rollout is not stopped for it.
func TestAVersionAndARollout(t *testing.T) { simulate(t, testAVersionAndARollout) }

func testAVersionAndARollout(t *testing.T) {
	s := newListed(t, 240)
	end := s.WatchRevisions(t)
	good := s.Renamed("another-name")
	if _, err := s.Begin(PlanText(s.Initial, good, "max_concurrent: 2\nprogress_timeout: 3m\njudge: {min_effect: 0.2}\nstages:\n  - {count: 2, control: 2}\n  - {share: 1}\n")); err != nil {
		t.Fatal(err)
	}
	s.AwaitChange(time.Minute, "it moves", func(c *rollout.Change) bool { return len(c.State.OpenOrders()) > 0 })
	during := s.Publish(s.quantum(1, 3))
	c := s.AwaitEnd(2 * time.Minute)
	if c.State.Phase != rollout.Done || CountRunning(c, good) != 6 {
		t.Errorf("%v: %s", c.State.Phase, c.State.Reason)
	}
	s.AwaitInForce(30*time.Second, during)

	before := s.Publish(s.quantum(0, 4))
	third := s.Renamed("a-third-name")
	if _, err := s.Begin(PlanText(good, third, "max_concurrent: 3\nmax_unavailable: 3\njudge: none\nstages: [{share: 1}]\n")); err != nil {
		t.Fatal(err)
	}
	s.AwaitChange(time.Minute, "both go on", func(c *rollout.Change) bool { return len(c.State.OpenOrders()) > 0 })
	newest := s.Publish(s.live(1))
	if c = s.AwaitEnd(2 * time.Minute); c.State.Phase != rollout.Done || CountRunning(c, third) != 6 {
		t.Errorf("%v: %s", c.State.Phase, c.State.Reason)
	}
	s.AwaitInForce(30*time.Second, newest)
	if before >= newest {
		t.Errorf("revision %d after %d", newest, before)
	}
	for _, a := range s.Agents {
		for _, k := range a.PersistedStates() {
			if k.Serving.Release != string(third) || k.InForce != newest || k.FailureReason != "" {
				t.Errorf("%+v", k)
			}
		}
	}
	end()
	s.Check()
}

// Coordinators are killed and isolated while versions are distributed: sidecars go on serving, the newest version is in force
// on all within a bound from the moment when two of three are back, and never an older one.
func TestCoordinatorsThatDie(t *testing.T) { simulate(t, testCoordinatorsThatDie) }

func testCoordinatorsThatDie(t *testing.T) {
	const bound = 20 * time.Second
	s := newListed(t, 200)
	end := s.WatchRevisions(t)
	n := 0
	publish := func() distribute.Revision {
		n++
		return s.Publish(s.live(n % 2))
	}
	s.AwaitInForce(bound, publish())

	leader := s.AwaitNewLeader(-1)
	newest := publish()
	s.Members[leader].KillAndWait()
	t.Logf("the leader is killed: %v", s.AwaitInForce(bound, newest).Round(10*time.Millisecond))
	newest = publish() // by two
	t.Logf("two are left: %v", s.AwaitInForce(bound, newest).Round(10*time.Millisecond))
	s.Members[leader].Start()

	newest = publish()
	for _, m := range s.Members {
		m.Kill()
	}
	for _, m := range s.Members {
		m.Wait()
	}
	<-time.After(3 * time.Second) // for some seconds there is no coordinator
	for _, m := range s.Members {
		m.Start()
	}
	t.Logf("all were killed: %v", s.AwaitInForce(bound, newest).Round(10*time.Millisecond))

	for _, in := range []bool{true, false} {
		cut := s.Members[s.AwaitNewLeader(-1)]
		cut.Partition(true, in, !in)
		newest = publish()
		t.Logf("one is cut off, in: %v: %v", in, s.AwaitInForce(bound, newest).Round(10*time.Millisecond))
		cut.Partition(false, true, true)
	}
	leader = s.AwaitNewLeader(-1)
	direct := []string{s.AwaitServing(s.Members[leader].Process)}
	s.ClientLinks[leader].Block(link.Backward, true) // its answers to agents are lost; they ask another coordinator
	n++
	newest = s.PublishAt(direct, s.live(n%2))
	t.Logf("one is not heard by agents: %v", s.AwaitInForce(bound, newest).Round(10*time.Millisecond))
	s.ClientLinks[leader].Block(link.Backward, false)
	s.AwaitInForce(bound, newest)
	end()
	s.Check()
}

// Agents are killed at random moments while versions are applied by reloads and by new processes: no older version comes back, no sidecar
// has a third process, and the newest is in force on all.
func TestAgentsKilledInAVersion(t *testing.T) { simulate(t, testAgentsKilledInAVersion) }

func testAgentsKilledInAVersion(t *testing.T) {
	s := newListed(t, 200)
	killed := kill(t, s.LoadTest, 1500*time.Millisecond)
	end := s.WatchRevisions(t)
	for i := range 6 {
		text := s.live(i / 2 % 2)
		if i%2 == 1 {
			text = s.quantum(i/2%2, 3+i)
		}
		newest := s.Publish(text)
		if i%3 == 2 {
			s.AwaitInForce(time.Minute, newest)
			continue
		}
		<-time.After(rand.N(2 * time.Second))
	}
	newest := s.Publish(s.quantum(1, 20))
	took := s.AwaitInForce(time.Minute, newest)
	t.Logf("%d kills of agents; the last version took %v", killed(), took.Round(100*time.Millisecond))
	end()
	refused := 0
	for _, m := range s.InForce().Sidecars {
		if m.Refused != 0 {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d have refused a good version", refused)
	}
	s.Check()
}
