//go:build review

// Command keyed plays a scenario with the project's own stand-ins against sidecar processes and judges one thing: whether the effect
// of a keyed request happened twice after a refusal.
//
//	keyed SCENARIO RECORD
//
// It ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves
// out the scenario's faults.
package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/scenario"
)

const (
	held    = 0
	broken  = 1
	invalid = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: keyed SCENARIO RECORD")
		os.Exit(invalid)
	}
	verdict, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		verdict = invalid
	}
	os.Exit(verdict)
}

// sidecarProgram returns the program of the run command of deploy/balancer.toml, which is "exec PROGRAM".
func sidecarProgram() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "exec `); ok {
			return filepath.Abs(strings.TrimSuffix(rest, `"`))
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run command")
}

func play(scenarioPath, recordPath string, trouble bool) (int, error) {
	program, err := sidecarProgram()
	if err != nil {
		return invalid, err
	}
	text, err := os.ReadFile(scenarioPath)
	if err != nil {
		return invalid, err
	}
	if !trouble {
		lines := slices.DeleteFunc(strings.Split(string(text), "\n"), func(line string) bool { return strings.HasPrefix(line, "at ") })
		text = []byte(strings.Join(lines, "\n"))
	}
	s, err := scenario.Parse(scenarioPath, strings.NewReader(string(text)))
	if err != nil {
		return invalid, err
	}
	r := &rehearse.Rehearsal{Scenario: s, Network: loopback.New(), Sidecars: &rehearse.Processes{Program: program}, MaxConnections: 1500, WaitUntil: load.WaitPrecisely}
	out, err := r.Run(context.Background())
	if err != nil {
		return invalid, err
	}
	var said []string
	say := func(format string, args ...any) {
		said = append(said, fmt.Sprintf(format, args...))
		fmt.Println(said[len(said)-1])
	}
	say("%s, disruption %t: %d requests of clients, %d attempts at servers, lag p99 %v", s.Name, trouble, len(out.Records.Calls),
		len(out.Records.Attempts), time.Duration(out.Load.Lag.ValueAtQuantile(99))*time.Microsecond)
	for _, b := range out.Audit.Breaches {
		say("%v", b)
	}
	twice := sentWhenForgotten(s, out)
	say("%d effects of keyed requests happened twice after a refusal, %d of them sent when the group had forgotten the key", effectsTwice(out), twice)
	if err := write(recordPath, said, &out.Records); err != nil {
		return invalid, err
	}
	switch {
	case out.Load.Partial || len(out.Load.Invalid) > 0:
		say("the load was not valid: %v", out.Load.Invalid)
		return invalid, nil
	case twice > 0:
		return broken, nil
	}
	return held, nil
}

// effectsTwice counts the effects that happened twice after a refusal.
func effectsTwice(out *rehearse.Outcome) (n int) {
	for _, b := range out.Audit.Breaches {
		if b.Rule == audit.EffectRepeated {
			n++
		}
	}
	return n
}

// sentWhenForgotten counts those of the effects whose second run had been sent, its first byte at the server, later than the class's
// window after the first one ran: the request went out again when its group no longer remembered it.
func sentWhenForgotten(s *scenario.Scenario, out *rehearse.Outcome) (n int) {
	for _, b := range out.Audit.Breaches {
		if b.Rule != audit.EffectRepeated {
			continue
		}
		for i := range out.Records.Attempts {
			second := &out.Records.Attempts[i]
			if second.WorkStarted != b.At || second.Server != b.Servers[1] {
				continue
			}
			for j := range out.Records.Attempts {
				first := &out.Records.Attempts[j]
				window := s.Classes[s.Class(first.Class)].Window
				if first.Trace == b.Request && !first.KeyKnown && first.WorkStarted != audit.Never && second.FirstByte >= first.WorkStarted+window {
					n++
					break
				}
			}
		}
	}
	return n
}

// event is one line of the record.
type event struct {
	at   time.Duration
	text string
}

// write writes what was sent, answered and run, in order of time.
func write(path string, said []string, records *audit.Records) error {
	var events []event
	for i := range records.Calls {
		c := &records.Calls[i]
		events = append(events, event{c.Sent, fmt.Sprintf("send %s key %s class %s to n%d, retry %t, waits %v", c.Trace, c.Key, c.Class, c.Sidecar, c.Retry, c.Patience)})
		if c.Answered != audit.Never {
			events = append(events, event{c.Answered, fmt.Sprintf("answer %s: %s %d, retry after %v", c.Trace, c.Result, c.Status, c.RetryAfter)})
		}
	}
	for i := range records.Attempts {
		if a := &records.Attempts[i]; a.WorkStarted != audit.Never {
			events = append(events, event{a.WorkStarted, fmt.Sprintf("run %s key %s at %s, a repeat without effect %t", a.Trace, a.Key, a.Server, a.KeyKnown)})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	w := bufio.NewWriter(file)
	for _, line := range said {
		fmt.Fprintln(w, line)
	}
	for _, e := range events {
		fmt.Fprintf(w, "%10.4f %s\n", e.at.Seconds(), e.text)
	}
	return w.Flush()
}
