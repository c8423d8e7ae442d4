package streams

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A checker that finds nothing would let each soak pass.
func TestChecker(t *testing.T) {
	run := func(run string, after int, numbers ...int) (events []Event) {
		for _, number := range numbers {
			events = append(events, Event{Subject: "s", Run: run, After: after, Number: number})
		}
		return events
	}
	for name, c := range map[string]struct {
		events      []Event
		mayContinue bool
		failure     string // of the last event or of the end; "" for none
	}{
		"one run":                       {run("a", 0, 1, 2, 3), false, ""},
		"two runs":                      {append(run("a", 0, 1, 2), run("b", 2, 3)...), true, ""},
		"two runs that may not":         {append(run("a", 0, 1, 2), run("b", 2, 3)...), false, "may not be continued"},
		"two runs that are joined":      {append(run("a", 0, 1, 2), run("b", 0, 3)...), true, "do not continue each other"},
		"an event twice":                {run("a", 0, 1, 2, 2), true, "twice"},
		"a run that begins anew":        {append(run("a", 0, 1, 2), run("b", 0, 1)...), true, "twice"},
		"a missing event":               {run("a", 0, 1, 3), true, "missing"},
		"a missing first event":         {run("a", 0, 2), true, "missing"},
		"a shortened stream":            {run("a", 0, 1, 2), true, "complete end"},
		"an empty stream":               {nil, true, "complete end"},
		"an event of another stream":    {[]Event{{Subject: "t", Run: "a", Number: 1}}, true, "another stream"},
		"two runs, the second too late": {append(run("a", 0, 1), run("b", 2, 3)...), true, "missing"},
	} {
		t.Run(name, func(t *testing.T) {
			checker := Checker{Subject: "s", Total: 3, MayContinue: c.mayContinue}
			var err error
			for _, e := range c.events {
				require.NoError(t, err, "before the last event")
				err = checker.Observe(e)
			}
			if err == nil {
				err = checker.End()
			}
			if c.failure == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.failure)
		})
	}
}

func TestParseReadsWhatServersSend(t *testing.T) {
	sent := Event{Subject: "s", Run: "r", After: 2, Number: 3, Padding: "xx"}
	read := Event{Subject: "s", Run: "r", After: 2, Number: 3}
	for _, numbered := range []bool{true, false} {
		text := sent.Encode(numbered, "\n")
		got, ok, err := Parse(strings.Split(strings.TrimSpace(text), "\n"))
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, read, got)
		_, _, err = Parse(strings.Split(strings.TrimSpace(strings.Replace(text, "xx", "xy", 1)), "\n"))
		require.ErrorIs(t, err, ErrDamaged)
	}
	_, ok, err := Parse([]string{": comment"})
	require.NoError(t, err)
	require.False(t, ok)
	_, _, err = Parse([]string{"id: 4", "data: " + strings.Split(sent.Encode(false, "\n")[len("data: "):], "\n")[0]})
	require.ErrorIs(t, err, ErrDamaged)
}
