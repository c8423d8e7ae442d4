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

// PlanFile is a plan as people write it.
type PlanFile struct {
	Plan   rollout.Plan
	Agents []string
}

// The defaults.
var defaultJudge = rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.02}

const defaultPatience = 30 * time.Minute

// ReadPlan reads a plan's file.
func ReadPlan(path string) (*PlanFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan reads the text of a plan. Every error names file, line, column and field, and says what to write. Whether stages add up is
// seen when the sidecars are known.
func ParsePlan(file string, text []byte) (*PlanFile, error) {
	top, err := yamlfile.Mapping(file, text, "fields such as application: permits")
	if err != nil {
		return nil, err
	}
	f := &PlanFile{Plan: rollout.Plan{MaxConcurrent: 1, EvidenceTimeout: defaultPatience, Judge: defaultJudge}}
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
		"at_once":     func(n *yaml.Node) error { return yamlfile.Decode(n, &p.MaxConcurrent, "a number from 1 on") },
		"unavailable": func(n *yaml.Node) error { return yamlfile.Decode(n, &p.MaxUnavailable, "a number from 1 on") },
		"before":      func(n *yaml.Node) error { return yamlfile.Within(n, &p.BaselinePeriod, 0, 24*time.Hour) },
		"patience":    func(n *yaml.Node) error { return yamlfile.Within(n, &p.EvidenceTimeout, time.Second, 7*24*time.Hour) },
		"hold":        func(n *yaml.Node) error { return yamlfile.Decode(n, &p.KeepOnStop, "true or false") },
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
	if p.MaxUnavailable == 0 {
		p.MaxUnavailable = p.MaxConcurrent
	}
	if n := lines["judge"]; n != nil {
		rate := func(to *float64) func(*yaml.Node) error {
			return func(n *yaml.Node) error { return yamlfile.Decode(n, to, "a share between 0 and 1") }
		}
		if n.Kind != yaml.MappingNode && n.Value != "none" {
			return nil, yamlfile.Problem(file, n, "judge", "write none, or fields such as effect: 0.02")
		}
		p.Judge.Disabled = n.Value == "none"
		err := yamlfile.Fields(file, "judge.", n, map[string]func(*yaml.Node) error{
			"false_stops": rate(&p.Judge.FalseStopRate), "missed_stops": rate(&p.Judge.MissedStopRate), "effect": rate(&p.Judge.MinEffect)})
		if err != nil {
			return nil, err
		}
		j := judge.Plan{FalseStopRate: p.Judge.FalseStopRate, MissedStopRate: p.Judge.MissedStopRate, MinEffect: p.Judge.MinEffect, MaxCells: 1}
		if err := j.Check(); err != nil {
			return nil, yamlfile.Problem(file, n, "judge", err.Error())
		}
	}
	err = yamlfile.Each(file, "stages", lines["stages"], func(at string, n *yaml.Node) error {
		var s rollout.Stage
		err := yamlfile.Fields(file, at+".", n, map[string]func(*yaml.Node) error{
			"names":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Selector.Names, "a list of sidecars") },
			"zone":    word(&s.Selector.Zone, "a zone"),
			"count":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Selector.Count, "a number from 1 on") },
			"share":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Selector.Share, "a share above 0, up to 1") },
			"control": func(n *yaml.Node) error { return yamlfile.Decode(n, &s.ControlCount, "a number") },
			"least":   func(n *yaml.Node) error { return yamlfile.Within(n, &s.MinWatch, 0, 7*24*time.Hour) },
		})
		p.Stages = append(p.Stages, s)
		return err
	})
	if err != nil {
		return nil, err
	}
	return f, nil
}

// BeginResult is a change that was begun, or that is good to begin.
type BeginResult struct {
	Change   string            `json:"change,omitempty"`
	Sidecars int               `json:"sidecars"`
	Findings []release.Finding `json:"findings"`
}

// Begin checks a plan against the agents as they are, and then has the log begin it. Before anything moves: every agent answers and
// has both releases whole, the new program takes the new settings on every machine, no field differs that must not, stages add up, and
// all sidecars run the release before. stepsDone: an operator says that what two steps need besides was done.
func Begin(ctx context.Context, operator *fleet.Operator, client *http.Client, file *PlanFile, stepsDone bool) (*BeginResult, error) {
	type told struct {
		sidecars []SidecarStatus
		settings [2][]byte // of the releases before and after
		err      error
	}
	all := make([]told, len(file.Agents))
	forEach(len(file.Agents), func(i int) {
		t, addr := &all[i], file.Agents[i]
		seen, err := callAgent[machine.StatusRequest, machine.Status](ctx, client, addr, machine.PathStatus, &machine.StatusRequest{Version: machine.Version, Application: file.Plan.Application})
		if t.err = err; err != nil {
			return
		}
		t.sidecars = seen.Sidecars
		for n, id := range []string{file.Plan.From, file.Plan.To} {
			checked, err := callAgent[machine.CheckRequest, machine.CheckResponse](ctx, client, addr, machine.PathCheck, &machine.CheckRequest{Version: machine.Version, Release: id})
			if t.err = err; err != nil {
				return
			}
			t.settings[n] = checked.Settings
		}
	})
	start, agentOf := &rollout.Start{Plan: file.Plan}, map[string]string{}
	for i, t := range all {
		addr := file.Agents[i]
		if t.err != nil {
			return nil, fmt.Errorf("agent %s: %w", addr, t.err)
		}
		for _, s := range t.sidecars {
			if other, twice := agentOf[s.Sidecar]; twice {
				return nil, fmt.Errorf("agent %s: sidecar %s is also that of agent %s", addr, s.Sidecar, other)
			}
			agentOf[s.Sidecar] = addr
			start.Members = append(start.Members, rollout.Member{Name: s.Sidecar, Zone: s.Zone, Agent: addr})
			start.Reports = append(start.Reports, s.Report)
		}
	}
	settings := all[0].settings // of equal releases
	findings, err := release.Compare(settings[0], settings[1])
	if err != nil {
		return nil, err
	}
	b := &BeginResult{Sidecars: len(start.Members), Findings: findings}
	if worst := release.Worst(findings); worst == release.Refused || worst == release.TwoSteps && !stepsDone {
		var why []string
		for _, file := range findings {
			if file.Kind != release.SideBySide {
				why = append(why, file.String())
			}
		}
		return b, fmt.Errorf("old and new must not run side by side (%v): %s", worst, strings.Join(why, "; "))
	}
	b.Change = strings.ToLower(rand.Text()[:12])
	answer, err := operator.Call(ctx, fleet.Request{Rollout: &rollout.Command{Application: file.Plan.Application, Change: b.Change, AtMillis: time.Now().UnixMilli(), Start: start}})
	if err == nil && answer.Rollout.Error != "" {
		err = errors.New(answer.Rollout.Error)
	}
	return b, err
}
