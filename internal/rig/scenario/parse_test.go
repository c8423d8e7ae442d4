package scenario

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/wire"
)

// complete is a scenario with all statements; malformed ones are made of it.
const complete = `# a comment
name     all
about    Everything  at once # is no comment here
seed     7
length   15s
sidecars 3 cores=0.5 memory=192 sockets=1024
fleet    4 cells=2 cores=2 speed=1.5 queue=8 kind=fast
fleet    2 zone=b
class    read share=60% effect=safe work=5ms..10ms io=2ms aim=100ms deadline=1s worth=3 late=0.3
class    book share=30% effect=keyed group=cell window=2s work=5ms aim=100ms deadline=1s
class    void share=10% effect=unsafe work=5ms deadline=800ms
tenant   north share=2
clients  patience=40%..100% retries=2 wait=50ms obey=1s marks=yes keys=500 skew=1.2
discovery late=200ms
rules    cold-from=12% cold-time=24s slack=60ms
limits   attempts=4 probes=no
arrive   ramp 50/s..300/s over=10s
arrive   bursts 20 every=500ms
arrive   poisson 10/s
at 3s    s1..s3,s6 slow x4 for 5s
at 1s    discovery late by=3s for 4s
at 4s    cell:1 error 50% for 2s
at 5s    zone:b replace drain=2s down=1s cold=12% warm=10s
at 6s    s1,s2,s3 roll batch=2 every=3s drain=1s
at 2s    crowd onces 300 over=1s for 6s
`

func TestParse(t *testing.T) {
	s, err := Parse("dir/all.txt", strings.NewReader(complete))
	if err != nil {
		t.Fatal(err)
	}
	if s.Description != "Everything  at once # is no comment here" || s.Seed != 7 || len(s.Servers) != 6 || len(s.Classes) != 3 {
		t.Errorf("%+v", s)
	}
	if c := s.Classes[1]; c.Effect != Keyed || c.Group != GroupCell || c.Window != 2*time.Second || c.Share != 0.3 {
		t.Errorf("%+v", c)
	}
	if srv, _ := s.Server("s4"); srv.Cell != 1 || srv.Speed != 1.5 || srv.Zone != "a" {
		t.Errorf("%+v", srv)
	}
	if c := s.Crowds[0]; c.Kind != SingleRequestClients || c.Count != 300 || c.At != 2*time.Second || c.ArrivalPeriod != time.Second || c.Duration != 6*time.Second {
		t.Errorf("%+v", c)
	}
	var got []string
	for _, f := range s.Faults {
		got = append(got, f.String())
	}
	want := "1s discovery late for 4s, 3s s1 slow for 5s, 3s s2 slow for 5s, 3s s3 slow for 5s, 3s s6 slow for 5s, " +
		"4s s2 error for 2s, 4s s4 error for 2s, 5s s5 replace, 5s s6 replace, 6s s1 replace, 6s s2 replace, 9s s3 replace"
	if text := strings.Join(got, ", "); text != want {
		t.Errorf("faults %s\nwant   %s", text, want)
	}
}

// malformed are replacements in complete, and the errors that they make.
var malformed = []struct{ old, new, want string }{
	{"seed     7", "sead 7", "all.txt:4: sead: unknown statement"},
	{"seed     7", "seed -1", "all.txt:4: -1: a seed is"},
	{"seed     7", "seed", "all.txt:4: seed: a number is missing"},
	{"length   15s", "length 15", `all.txt:5: length: "15" is no duration`},
	{"length   15s", "length 0s", "all.txt:5: length: must be over 0"},
	{"length   15s", "length 1s 2s", "all.txt:5: 2s: not expected here"},
	{"cores=0.5 memory", "cores=0.5 cores=1 memory", "all.txt:6: cores: given twice"},
	{"cores=0.5 memory=192", "ram=192", "all.txt:6: ram: unknown option; sidecars takes cores"},
	{"cores=0.5 memory=192", "cores=NaN", `all.txt:6: cores: "NaN" is no number`},
	{"fleet    4 cells", "fleet 0 cells", `all.txt:7: fleet: "0" is no whole number from 1`},
	{"class    book", "class read", "all.txt:10: read: there is a class of that name"},
	{"class    book", "class a/b", "all.txt:10: a/b: a class's name"},
	{"effect=keyed", "effect=idempotent", `all.txt:10: effect: "idempotent" is none of safe, keyed, unsafe`},
	{" window=2s", "", "all.txt:10: window: missing"},
	{"share=10% effect=unsafe", "effect=unsafe window=2s", "all.txt:11: effect: only a keyed class"},
	{"deadline=800ms", "", "all.txt:11: deadline: missing"},
	{"deadline=800ms", "deadline=800ms aim=1s", "all.txt:11: aim: 1s is after the deadline"},
	{"work=5ms..10ms", "work=10ms..5ms", `all.txt:9: work: "10ms..5ms" ends before it begins`},
	{"patience=40%..100%", "patience=90%..10%", `all.txt:13: patience: "10%" is no number from 0.9`},
	{"marks=yes", "marks=maybe", `all.txt:13: marks: "maybe" is none of yes, no`},
	{"arrive   ramp 50/s..300/s over=10s", "arrive ramp 50/s over=10s", "all.txt:17: 50/s: ramp takes two"},
	{"arrive   ramp 50/s..300/s over=10s", "arrive ramp 50/s..300/s", "all.txt:17: over: missing"},
	{"arrive   ramp 50/s..300/s over=10s", "arrive ramp 50..300 over=10s", "a rate is a number a second"},
	{"arrive   poisson 10/s", "arrive poisson 10/s..20/s", "all.txt:19: 10/s..20/s: poisson takes one rate"},
	{"arrive   poisson 10/s", "arrive slowly 10/s", `all.txt:19: shape: "slowly" is none of constant`},
	{"at 3s    s1..s3,s6", "at 3s s9", "all.txt:20: s9: no such server; there are s1 to s6"},
	{"at 3s    s1..s3,s6", "at 3s s3..s1", "all.txt:20: s3..s1: no such server"},
	{"slow x4 for 5s", "slow 4 for 5s", "all.txt:20: slow: needs a factor"},
	{"slow x4 for 5s", "slow x4", "all.txt:20: slow: for how long is missing"},
	{"slow x4 for 5s", "explode for 5s", `all.txt:20: fault: "explode" is none of slow, stall`},
	{"slow x4 for 5s", "drain for 5s", "all.txt:20: for: drain does not end"},
	{"late by=3s for 4s", "late for 4s", "all.txt:21: by: missing"},
	{"error 50% for", "error 150% for", `all.txt:22: error: "150%" is no number from 0 to 1`},
	{"cold=12% warm=10s", "cold=5% warm=10s", "all.txt:23: cold: a server that is colder than the rules say"},
	{"at 4s    cell:1 error 50% for 2s", "at 4s s1 slow x2 for 1s", "all.txt:22: slow: at 4s s1 is under slow from line 20 on, until 8s"},
	{"at 4s    cell:1 error 50% for 2s", "at 5s s1 gone drain=1s", "all.txt:24: replace: at 6s s1 is under gone from line 22 on, for good"},
	{"crowd onces 300", "crowd people 300", `all.txt:25: crowd: "people" is none of idlers, onces`},
	{"crowd onces 300", "crowd onces 0", `all.txt:25: crowd: "0" is no whole number`},
	{"over=1s for 6s", "over=1s", "all.txt:25: crowd: for how long is missing"},
	{"over=1s for 6s", "over=7s for 6s", "all.txt:25: over: they come within 7s and are gone after 6s"},
	{"# a comment", "include nowhere.txt", "all.txt:1: nowhere.txt: open"},
	{"# a comment", "include all.txt", "files include one another more than 4 deep"},
}

// Whatever is wrong is one error that names file, line and field.
func TestMalformed(t *testing.T) {
	for _, c := range malformed {
		text := strings.Replace(complete, c.old, c.new, 1)
		if text == complete {
			t.Fatalf("%q is not in the file", c.old)
		}
		path := filepath.Join(t.TempDir(), "all.txt")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Read(path)
		var parseError *Error
		if s != nil || !errors.As(err, &parseError) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q", c.new, err, c.want)
		}
	}
}

// A scenario without one of the statements that it needs is an error that names the statement.
func TestMissingStatements(t *testing.T) {
	for _, statement := range []string{"fleet", "class", "arrive"} {
		var rest []string
		for _, line := range strings.Split(complete, "\n") {
			if !strings.HasPrefix(line, statement) && !strings.HasPrefix(line, "at ") {
				rest = append(rest, line)
			}
		}
		_, err := Parse("all.txt", strings.NewReader(strings.Join(rest, "\n")))
		if err == nil || !strings.HasPrefix(err.Error(), "all.txt: "+statement+": missing") {
			t.Errorf("without %s: %v", statement, err)
		}
	}
}

// The settings of sidecars are those of the scenario.
func TestSettingsAreThoseOfTheScenario(t *testing.T) {
	s, err := Parse("all.txt", strings.NewReader(complete))
	if err != nil {
		t.Fatal(err)
	}
	p, err := wire.ParseProfile(1, s.Settings(2))
	if err != nil {
		t.Fatal(err)
	}
	c := p.Config
	if c.SidecarNumber != 2 || c.SidecarCount != 3 || c.Zone != 0 || !c.Subscribe || c.MaxAttempts != 4 || c.Probes || c.DrainGrace != 250 ||
		c.SlowStartFraction != 0.12 || c.SlowStartTime != 24000 || c.OverloadMultiple != 2.5 || c.OverloadTime != 3000 {
		t.Errorf("%+v", c)
	}
	want := []balance.Class{
		{Effect: balance.Safe, LatencyTarget: 100, Deadline: 1000, Value: 3, LateValue: 0.3, Window: c.Classes[0].Window},
		{Effect: balance.Keyed, Group: balance.GroupCell, Window: 2000, LatencyTarget: 100, Deadline: 1000, Value: 1},
		{Effect: balance.Unsafe, LatencyTarget: 800, Deadline: 800, Value: 1, Window: c.Classes[2].Window},
	}
	for i := range want {
		if c.Classes[i] != want[i] {
			t.Errorf("class %d: %+v, want %+v", i, c.Classes[i], want[i])
		}
	}
	if strings.Join(p.Zones, " ") != "a b" || strings.Join(p.Kinds, " ") != "fast std" || p.ConnectionIdleTime != 10000 {
		t.Errorf("%+v", p)
	}
}

func TestLibrary(t *testing.T) {
	if n := len(Names()); n < 6 || n > 10 {
		t.Errorf("%d scenarios", n)
	}
	for _, name := range Names() {
		s, err := FromLibrary(name)
		if err != nil {
			t.Error(err)
		} else if s.Name != name || s.Description == "" || s.Length > 20*time.Second {
			t.Errorf("%s: %+v", name, s)
		}
	}
	if _, err := FromLibrary("service"); err == nil {
		t.Error("a file that is no scenario is accepted")
	}
}

func TestPressureOnASlowStart(t *testing.T) {
	rules := Rules{OverloadMultiple: 2, OverloadTime: time.Second}
	slowStart := SlowStart{Fraction: 0.1, Duration: 10 * time.Second}
	if got := slowStart.Capacity(5 * time.Second); got < 0.549 || got > 0.551 {
		t.Errorf("capacity %v", got)
	}
	p := NewPressure(rules, Server{Cores: 1, Speed: 1}, slowStart)
	// At its start it does 0.1 s of work a second, and collapses above twice that within a second and a tenth for chance.
	if over := p.Add(0, 210*time.Millisecond); over > 1 {
		t.Errorf("it collapses within its capacity: %v", over)
	}
	if over := p.Add(1, 20*time.Millisecond); over < 1 {
		t.Errorf("it does not collapse: %v", over)
	}
	if over := p.Add(time.Second+1, 200*time.Millisecond); over > 1 {
		t.Errorf("work before the window counts: %v", over)
	}
	if over := p.Add(10*time.Second, time.Hour); over != 0 {
		t.Errorf("a server after its slow start collapses: %v", over)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(complete)
	f.Add("fleet 1\nclass a deadline=1s\narrive constant 1/s\nat 1s all stall for 1s")
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Contains(text, "include") {
			return // it would read files
		}
		s, err := Parse("f", strings.NewReader(text))
		var parseError *Error
		if err != nil && (s != nil || !errors.As(err, &parseError) || parseError.File != "f" || parseError.Field == "") {
			t.Errorf("%#v", err)
		}
		if err == nil {
			if _, err := wire.ParseProfile(1, s.Settings(0)); err != nil {
				t.Errorf("a valid scenario gives invalid settings: %v", err)
			}
		}
	})
}
