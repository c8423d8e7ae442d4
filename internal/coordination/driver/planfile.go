package driver

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/yamlfile"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
)

// File is a plan as people write it.
type File struct {
	Plan   rollout.Plan
	Agents []string
}

// The defaults.
var defaultJudge = rollout.Judgement{FalseStops: 0.01, MissedStops: 0.05, Effect: 0.02}

const defaultPatience = 30 * time.Minute

// ReadPlan reads a plan's file.
func ReadPlan(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan reads the text of a plan. Every error names file, line, column and field, and says what to write. Whether stages add up is
// seen when the sidecars are known.
func ParsePlan(file string, text []byte) (*File, error) {
	top, err := yamlfile.Mapping(file, text, "fields such as application: permits")
	if err != nil {
		return nil, err
	}
	f := &File{Plan: rollout.Plan{AtOnce: 1, Patience: defaultPatience, Judge: defaultJudge}}
	p := &f.Plan
	word := func(to *string, what string) func(*yaml.Node) error {
		return func(n *yaml.Node) error { return yamlfile.Decode(n, to, what) }
	}
	lines := map[string]*yaml.Node{}
	note := func(name string, read func(*yaml.Node) error) func(*yaml.Node) error {
		return func(n *yaml.Node) error { lines[name] = n; return read(n) }
	}
	keep := func(*yaml.Node) error { return nil }
	err = yamlfile.Fields(file, "", top, map[string]func(*yaml.Node) error{
		"application": word(&p.Application, "a name"), "from": word(&p.From, "a release"), "to": word(&p.To, "a release"),
		"at_once":     func(n *yaml.Node) error { return yamlfile.Decode(n, &p.AtOnce, "a number from 1 on") },
		"unavailable": func(n *yaml.Node) error { return yamlfile.Decode(n, &p.Unavailable, "a number from 1 on") },
		"before":      func(n *yaml.Node) error { return yamlfile.Within(n, &p.Before, 0, 24*time.Hour) },
		"patience":    func(n *yaml.Node) error { return yamlfile.Within(n, &p.Patience, time.Second, 7*24*time.Hour) },
		"hold":        func(n *yaml.Node) error { return yamlfile.Decode(n, &p.Hold, "true or false") },
		"agents":      note("agents", func(n *yaml.Node) error { return yamlfile.Decode(n, &f.Agents, "a list of host:port") }),
		"judge":       note("judge", keep), "stages": note("stages", keep),
	})
	if err != nil {
		return nil, err
	}
	switch {
	case p.Application == "" || p.From == "" || p.To == "":
		return nil, yamlfile.Problem(file, top, "application, from, to", "write all three")
	case len(f.Agents) == 0:
		return nil, yamlfile.Problem(file, top, "agents", "missing; write the addresses of the agents")
	case lines["stages"] == nil:
		return nil, yamlfile.Problem(file, top, "stages", "missing; write one at least")
	}
	for _, n := range lines["agents"].Content {
		if err := yamlfile.Address(n, new(string)); err != nil {
			return nil, yamlfile.Problem(file, n, "agents", err.Error())
		}
	}
	if p.Unavailable == 0 {
		p.Unavailable = p.AtOnce
	}
	if n := lines["judge"]; n != nil {
		rate := func(to *float64) func(*yaml.Node) error {
			return func(n *yaml.Node) error { return yamlfile.Decode(n, to, "a share between 0 and 1") }
		}
		if n.Kind != yaml.MappingNode && n.Value != "none" {
			return nil, yamlfile.Problem(file, n, "judge", "write none, or fields such as effect: 0.02")
		}
		p.Judge.None = n.Value == "none"
		err := yamlfile.Fields(file, "judge.", n, map[string]func(*yaml.Node) error{
			"false_stops": rate(&p.Judge.FalseStops), "missed_stops": rate(&p.Judge.MissedStops), "effect": rate(&p.Judge.Effect)})
		if err != nil {
			return nil, err
		}
		j := judge.Plan{FalseStop: p.Judge.FalseStops, Missed: p.Judge.MissedStops, Effect: p.Judge.Effect, Cells: 1}
		if err := j.Check(); err != nil {
			return nil, yamlfile.Problem(file, n, "judge", err.Error())
		}
	}
	err = yamlfile.Each(file, "stages", lines["stages"], func(at string, n *yaml.Node) error {
		var s rollout.Stage
		err := yamlfile.Fields(file, at+".", n, map[string]func(*yaml.Node) error{
			"names":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Select.Names, "a list of sidecars") },
			"zone":    word(&s.Select.Zone, "a zone"),
			"count":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Select.Count, "a number from 1 on") },
			"share":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Select.Share, "a share above 0, up to 1") },
			"control": func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Control, "a number") },
			"least":   func(n *yaml.Node) error { return yamlfile.Within(n, &s.Least, 0, 7*24*time.Hour) },
		})
		p.Stages = append(p.Stages, s)
		return err
	})
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Begun is a change that was begun, or that is good to begin.
type Begun struct {
	Change   string            `json:"change,omitempty"`
	Sidecars int               `json:"sidecars"`
	Findings []release.Finding `json:"findings"`
}

// Begin checks a plan against the agents as they are, and then has the log begin it. Before anything moves: every agent answers and
// has both releases whole, the new program takes the new settings on every machine, no field differs that must not, stages add up, and
// all sidecars run the release before. stepsDone: an operator says that what two steps need besides was done.
func Begin(ctx context.Context, o *fleet.Operator, over *http.Client, f *File, stepsDone bool) (*Begun, error) {
	type told struct {
		sidecars []Seen
		settings [2][]byte // of the releases before and after
		err      error
	}
	all := make([]told, len(f.Agents))
	each(len(f.Agents), func(i int) {
		t, addr := &all[i], f.Agents[i]
		seen, err := call[machine.StatusRequest, machine.Status](ctx, over, addr, machine.PathStatus, &machine.StatusRequest{Version: machine.Version, Application: f.Plan.Application})
		if t.err = err; err != nil {
			return
		}
		t.sidecars = seen.Sidecars
		for n, id := range []string{f.Plan.From, f.Plan.To} {
			checked, err := call[machine.CheckRequest, machine.CheckResponse](ctx, over, addr, machine.PathCheck, &machine.CheckRequest{Version: machine.Version, Release: id})
			if t.err = err; err != nil {
				return
			}
			t.settings[n] = checked.Settings
		}
	})
	start, of := &rollout.Start{Plan: f.Plan}, map[string]string{}
	for i, t := range all {
		addr := f.Agents[i]
		if t.err != nil {
			return nil, fmt.Errorf("agent %s: %w", addr, t.err)
		}
		for _, s := range t.sidecars {
			if other, twice := of[s.Sidecar]; twice {
				return nil, fmt.Errorf("agent %s: sidecar %s is also that of agent %s", addr, s.Sidecar, other)
			}
			of[s.Sidecar] = addr
			start.Members = append(start.Members, rollout.Member{Name: s.Sidecar, Zone: s.Zone, Agent: addr})
			start.Now = append(start.Now, s.Report)
		}
	}
	settings := all[0].settings // of equal releases
	findings, err := release.Compare(settings[0], settings[1])
	if err != nil {
		return nil, err
	}
	b := &Begun{Sidecars: len(start.Members), Findings: findings}
	if worst := release.Worst(findings); worst == release.Refused || worst == release.TwoSteps && !stepsDone {
		var why []string
		for _, f := range findings {
			if f.Kind != release.SideBySide {
				why = append(why, f.String())
			}
		}
		return b, fmt.Errorf("old and new must not run side by side (%v): %s", worst, strings.Join(why, "; "))
	}
	b.Change = strings.ToLower(rand.Text()[:12])
	answer, err := o.Call(ctx, fleet.Request{Rollout: &rollout.Command{Application: f.Plan.Application, Change: b.Change, At: time.Now().UnixMilli(), Start: start}})
	if err == nil && answer.Rollout.Err != "" {
		err = errors.New(answer.Rollout.Err)
	}
	return b, err
}
