package arrival

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/rig/racedetector"
	"petrelhook/internal/rig/scenario"
)

// scheduledTimes reads a schedule to its end.
func scheduledTimes(t *testing.T, s Schedule) (times []time.Duration) {
	t.Helper()
	for {
		a, err := s.Next()
		if errors.Is(err, io.EOF) {
			return times
		}
		if err != nil {
			t.Fatal(err)
		}
		times = append(times, a.ScheduledAt)
	}
}

// timesOf are the scheduled times of some streams, merged.
func timesOf(t *testing.T, length time.Duration, arrivals ...scenario.Arrival) []time.Duration {
	t.Helper()
	s, err := NewSchedule(&scenario.Scenario{Length: length, Arrivals: arrivals})
	if err != nil {
		t.Fatal(err)
	}
	return scheduledTimes(t, s)
}

// The number of arrivals of each shape is the integral of its rate, exactly, also late in a long run.
func TestShapesAddUp(t *testing.T) {
	second := time.Second
	count := func(times []time.Duration, from, to time.Duration) (n int) {
		for _, d := range times {
			if d >= from && d < to {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		name     string
		a        scenario.Arrival
		length   time.Duration
		from, to time.Duration
		want     int
	}{
		{"constant", scenario.Arrival{Shape: scenario.Constant, FromRate: 100}, 10 * second, 3 * second, 4 * second, 100},
		{"constant, an hour on", scenario.Arrival{Shape: scenario.Constant, FromRate: 30}, time.Hour, 3598 * second, 3599 * second, 30},
		{"ramp", scenario.Arrival{Shape: scenario.Ramp, FromRate: 0, ToRate: 100, Over: 10 * second}, 20 * second, 0, 10 * second, 500},
		{"after a ramp", scenario.Arrival{Shape: scenario.Ramp, FromRate: 0, ToRate: 100, Over: 10 * second}, 20 * second, 12 * second, 13 * second, 100},
		{"ramp down", scenario.Arrival{Shape: scenario.Ramp, FromRate: 100, ToRate: 0, Over: 10 * second}, 10 * second, 0, 5 * second, 375},
		{"step", scenario.Arrival{Shape: scenario.Step, FromRate: 10, ToRate: 1000, At: 2 * second}, 4 * second, 2 * second, 3 * second, 1000},
		{"before a step", scenario.Arrival{Shape: scenario.Step, FromRate: 10, ToRate: 1000, At: 2 * second}, 4 * second, 0, 2 * second, 20},
		{"step from zero", scenario.Arrival{Shape: scenario.Step, FromRate: 0, ToRate: 50, At: 2 * second}, 4 * second, 0, 4 * second, 100},
		{"wave, complete periods", scenario.Arrival{Shape: scenario.Wave, FromRate: 50, ToRate: 150, Every: 2 * second}, 4 * second, 0, 4 * second, 400},
		{"wave, the upper half", scenario.Arrival{Shape: scenario.Wave, FromRate: 0, ToRate: 200, Every: 2 * second}, 2 * second, 500 * time.Millisecond, 1500 * time.Millisecond, 164},
		{"bursts", scenario.Arrival{Shape: scenario.Bursts, Size: 7, Every: 300 * time.Millisecond}, second, 0, second, 28},
	} {
		got := count(timesOf(t, c.length, c.a), c.from, c.to)
		if got < c.want-1 || got > c.want+1 {
			t.Errorf("%s: %d arrivals, want %d", c.name, got, c.want)
		}
	}
}

func TestPoissonGapsAreExponential(t *testing.T) {
	times := timesOf(t, 1000*time.Second, scenario.Arrival{Shape: scenario.Constant, FromRate: 20, Poisson: true})
	if n := float64(len(times)); math.Abs(n-20000) > 4*math.Sqrt(20000) {
		t.Errorf("%v arrivals, want about 20000", n)
	}
	longer := 0
	for i := 1; i < len(times); i++ {
		if times[i]-times[i-1] > 50*time.Millisecond { // the mean
			longer++
		}
	}
	if fraction := float64(longer) / float64(len(times)); math.Abs(fraction-1/math.E) > 0.02 {
		t.Errorf("%.3f of the gaps are over the mean, want 1/e", fraction)
	}
}

func TestStreamsAreMergedInOrder(t *testing.T) {
	times := timesOf(t, 10*time.Second, scenario.Arrival{Shape: scenario.Constant, FromRate: 100},
		scenario.Arrival{Shape: scenario.Bursts, Size: 50, Every: time.Second})
	if len(times) != 1500 {
		t.Errorf("%d arrivals", len(times))
	}
	for i := 1; i < len(times); i++ {
		if times[i] < times[i-1] {
			t.Fatalf("%v comes after %v", times[i], times[i-1])
		}
	}
}

// Equal times and a gap of an hour are valid.
func TestTrace(t *testing.T) {
	text := `{"due_us":1000,"class":"read","tenant":"north","about":"7","wait_us":250000}
{"due_us":1000}
{"due_us":3600001000,"class":"read"}`
	tr := NewTrace("t", strings.NewReader(text))
	first, err := tr.Next()
	want := Arrival{ScheduledAt: time.Millisecond, Class: "read", Tenant: "north", Object: "7", Patience: 250 * time.Millisecond}
	if err != nil || first != want {
		t.Fatalf("%+v, %v", first, err)
	}
	if times := scheduledTimes(t, tr); len(times) != 2 || times[0] != time.Millisecond || times[1] != time.Hour+time.Millisecond {
		t.Error(times)
	}
}

func TestMalformedTraces(t *testing.T) {
	s := &scenario.Scenario{Classes: []scenario.Class{{Name: "read"}}}
	for text, want := range map[string]string{
		`{"due_us":1}` + "\n" + `{"due_us":0}`: "t:2: due_us: 0 comes after 1",
		`{"due_us":1}` + "\n\n":                "t:2: line: empty",
		`{"class":"read"}`:                     "t:1: due_us: missing",
		`{"due_us":-1}`:                        "t:1: due_us: -1",
		`{"due_us":1.5}`:                       "t:1: line: json",
		`{"due_us":1,"wait_us":-4}`:            "t:1: wait_us: -4",
		`{"due_us":1,"klass":"read"}`:          `t:1: line: json: unknown field "klass"`,
		`{"due_us":1,"class":"write"}`:         `t:1: class: "write" is no class`,
		`{"due_us":1} {"due_us":2}`:            "t:1: line: more than one object",
		`{"due_us":1`:                          "t:1: line: unexpected EOF",
		strings.Repeat("x", maxTraceLine+1):    "t:1: line: over 16384 bytes",
	} {
		tr := NewTrace("t", strings.NewReader(text))
		tr.scenario = s
		var err error
		for err == nil {
			_, err = tr.Next()
		}
		if !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.40q: %v, want %s", text, err, want)
		}
	}
}

// A trace that was recorded is read as the same arrivals.
func TestTraceRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.jsonl")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	want := []Arrival{{ScheduledAt: 0, Class: "read", Object: "1"}, {ScheduledAt: 5 * time.Microsecond, Class: "book", Tenant: "n", Patience: time.Second}}
	w := NewTraceWriter(f)
	for _, a := range want {
		w.Write(a)
	}
	if err := errors.Join(w.Flush(), f.Close()); err != nil {
		t.Fatal(err)
	}
	tr, err := OpenTrace(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range want {
		if got, err := tr.Next(); got != a || err != nil {
			t.Errorf("%+v, %v, want %+v", got, err, a)
		}
	}
	if _, err := tr.Next(); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// Ten million lines are streamed: memory does not grow with them.
func TestLongTraceIsStreamed(t *testing.T) {
	lines := 10_000_000
	if testing.Short() || racedetector.Enabled {
		lines = 200_000
	}
	defer debug.SetGCPercent(debug.SetGCPercent(1000)) // nearly all that a line needs is garbage at once, and the heap is small
	r, w := io.Pipe()
	go func() {
		out := bufio.NewWriterSize(w, 1<<16)
		for i := range lines {
			fmt.Fprintf(out, "{\"due_us\":%d}\n", i/3)
		}
		out.Flush()
		w.Close()
	}()
	tr := NewTrace("t", r)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for {
		if _, err := tr.Next(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n != lines {
		t.Errorf("%d lines of %d", n, lines)
	}
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("the heap has grown by %d bytes", grown)
	}
}
