package deployment

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
)

// Add adds a release to the store.
func (d *Deployment) Add(program string, settings []byte) release.ID {
	d.t.Helper()
	store, err := release.NewStore(d.Releases)
	if err != nil {
		d.t.Fatal(err)
	}
	p, err := os.Open(program)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = p.Close() }()
	r, err := store.Add(p, strings.NewReader(string(settings)))
	if err != nil {
		d.t.Fatal(err)
	}
	return r.ID
}

// AddProgram adds a release with a program.
func (d *Deployment) AddProgram(p Program, settings []byte) release.ID {
	d.t.Helper()
	return d.Add(d.platform.programFile(p), settings)
}

// Renamed adds a release that does the same as the initial one.
func (s *LoadTest) Renamed(name string) release.ID {
	s.t.Helper()
	return s.AddProgram(Program{Name: name}, s.Settings)
}

// FaultyRelease adds a release whose sidecar has a fault.
func (s *LoadTest) FaultyRelease(fault string) release.ID {
	s.t.Helper()
	return s.AddProgram(Program{Name: fault, Fault: fault}, s.Settings)
}

// ReplaceSetting returns the settings with the first occurrence of a text replaced.
func (s *LoadTest) ReplaceSetting(from, to string) []byte {
	return []byte(strings.Replace(string(s.Settings), from, to, 1))
}

// WorseRelease is a release that is worse than the one before in one way.
type WorseRelease struct {
	Program
	Reason string // what the reason of the stop has to contain
	Plan   string // further fields of the plan
}

// CheckWorseReleases starts changes from a release, which six sidecars run, to worse ones, one after the other, and checks that each is
// stopped in its first stage, for its reason, and rolled back.
func (s *LoadTest) CheckWorseReleases(from release.ID, releases []WorseRelease) {
	s.t.Helper()
	for _, worse := range releases {
		s.checkWorseRelease(from, worse)
	}
}

func (s *LoadTest) checkWorseRelease(from release.ID, worse WorseRelease) {
	s.t.Helper()
	id := s.AddProgram(worse.Program, s.Settings)
	began := time.Now()
	if _, err := s.Begin(PlanText(from, id, worse.Plan)); err != nil {
		s.t.Fatal(worse.Name, err)
	}
	stopped := s.AwaitChange(90*time.Second, worse.Name+" is stopped", func(c *rollout.Change) bool { return c.State.Phase > rollout.Paused })
	stopTime := time.Since(began)
	ended := s.AwaitEnd(time.Minute)
	state := ended.State
	s.t.Logf("%s: stopped after %v, back after %v: %s", worse.Name, stopTime.Round(100*time.Millisecond),
		time.Since(began).Round(100*time.Millisecond), state.Reason)
	if state.Phase != rollout.Stopped || stopped.State.Stage != 1 || CountRunning(ended, from) != 6 || !strings.Contains(state.Reason, worse.Reason) {
		text, _ := json.Marshal(state)
		s.t.Errorf("%s: %v in stage %d, %d run the one before: %s", worse.Name, state.Phase, state.Stage, CountRunning(ended, from), text)
	}
}
