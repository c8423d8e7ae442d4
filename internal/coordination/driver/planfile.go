package driver

import (
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/yamlfile"
	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
)

// PlanFile is the content of a plan file: a plan and the agents whose sidecars it changes.
type PlanFile struct {
	Plan     rollout.Plan
	Agents   []string // addresses of the agents
	Warnings []string // deprecated names in the file, each with its position; petrelhookctl prints them
}

// The defaults of a plan file.
var defaultJudge = rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.02}

const (
	defaultMaxConcurrent   = 1
	defaultProgressTimeout = 30 * time.Minute
)

// The deprecated names of fields, each with the current name. They are still read; see yamlfile.DeprecatedNames.
var (
	renamedPlanFields = map[string]string{
		"at_once":     "max_concurrent",
		"unavailable": "max_unavailable",
		"before":      "baseline_period",
		"patience":    "progress_timeout",
		"hold":        "disable_rollback",
	}
	renamedJudgeFields = map[string]string{
		"false_stops":  "false_stop_rate",
		"missed_stops": "missed_stop_rate",
		"effect":       "min_effect",
	}
	renamedStageFields = map[string]string{"least": "min_bake_time"}
)

// The upper bounds of durations in a plan file.
const (
	maxBaselinePeriod = 24 * time.Hour
	maxStageTime      = 7 * 24 * time.Hour
)

// ReadPlan reads the plan file at path; see ParsePlan.
func ReadPlan(path string) (*PlanFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, text)
}

// ParsePlan parses the text of a plan file. Every error names file, line, column and field, and states what to write. It does not check
// whether the stages fit the sidecars, which are not known yet; Begin does.
func ParsePlan(file string, text []byte) (*PlanFile, error) {
	top, err := yamlfile.Mapping(file, text, "fields such as application: permits")
	if err != nil {
		return nil, err
	}
	p := &planParser{file: file, result: &PlanFile{Plan: rollout.Plan{MaxConcurrent: defaultMaxConcurrent,
		ProgressTimeout: defaultProgressTimeout, Judge: defaultJudge}}}
	for _, step := range []func(*yaml.Node) error{p.readTop, p.checkTop, p.readJudge, p.readStages} {
		if err := step(top); err != nil {
			return nil, err
		}
	}
	if p.result.Warnings, err = p.deprecated.Warnings(file); err != nil {
		return nil, err
	}
	return p.result, nil
}

// planParser holds the state of parsing one plan file.
type planParser struct {
	file   string
	result *PlanFile

	agents, judge, stages yaml.Node // values of these fields; the zero node if the file does not have the field

	deprecated yamlfile.DeprecatedNames
}

func (p *planParser) problem(n *yaml.Node, field, what string) error {
	return yamlfile.NewError(p.file, n, field, what)
}

func (p *planParser) readTop(top *yaml.Node) error {
	plan := &p.result.Plan
	return p.deprecated.Fields(p.file, "", top, map[string]yamlfile.Reader{
		"application":      yamlfile.Into(&plan.Application, "a name"),
		"from":             yamlfile.Into(&plan.From, "a release"),
		"to":               yamlfile.Into(&plan.To, "a release"),
		"max_concurrent":   yamlfile.Into(&plan.MaxConcurrent, "a number from 1 on"),
		"max_unavailable":  yamlfile.Into(&plan.MaxUnavailable, "a number from 1 on"),
		"baseline_period":  yamlfile.IntoDuration(&plan.BaselinePeriod, 0, maxBaselinePeriod),
		"progress_timeout": yamlfile.IntoDuration(&plan.ProgressTimeout, time.Second, maxStageTime),
		"disable_rollback": yamlfile.Into(&plan.DisableRollback, "true or false"),
		"agents": func(n *yaml.Node) error {
			p.agents = *n
			return yamlfile.Decode(n, &p.result.Agents, "a list of host:port")
		},
		"judge":  yamlfile.Into(&p.judge, "none, or fields"),
		"stages": yamlfile.Into(&p.stages, "a list"),
	}, renamedPlanFields)
}

// checkTop checks the fields that a plan file must have, and sets the default of max_unavailable.
func (p *planParser) checkTop(top *yaml.Node) error {
	plan := &p.result.Plan
	switch {
	case plan.Application == "" || plan.From == "" || plan.To == "":
		return p.problem(top, "application, from, to", "write all three")
	case len(p.result.Agents) == 0:
		return p.problem(top, "agents", "missing; write the addresses of the agents")
	case p.stages.IsZero():
		return p.problem(top, "stages", "missing; write one at least")
	}
	for _, n := range p.agents.Content {
		if err := yamlfile.Address(n, new(string)); err != nil {
			return p.problem(n, "agents", err.Error())
		}
	}
	if plan.MaxUnavailable == 0 {
		plan.MaxUnavailable = plan.MaxConcurrent
	}
	return nil
}

func (p *planParser) readJudge(*yaml.Node) error {
	if p.judge.IsZero() {
		return nil
	}
	n, config := &p.judge, &p.result.Plan.Judge
	if n.Kind != yaml.MappingNode && n.Value != "none" {
		return p.problem(n, "judge", "write none, or fields such as min_effect: 0.02")
	}
	config.Disabled = n.Value == "none"
	const fraction = "a share between 0 and 1"
	err := p.deprecated.Fields(p.file, "judge.", n, map[string]yamlfile.Reader{
		"false_stop_rate":  yamlfile.Into(&config.FalseStopRate, fraction),
		"missed_stop_rate": yamlfile.Into(&config.MissedStopRate, fraction),
		"min_effect":       yamlfile.Into(&config.MinEffect, fraction),
	}, renamedJudgeFields)
	if err != nil {
		return err
	}
	plan := judge.Plan{FalseStopRate: config.FalseStopRate, MissedStopRate: config.MissedStopRate, MinEffect: config.MinEffect, MaxCells: 1}
	if err := plan.Check(); err != nil {
		return p.problem(n, "judge", err.Error())
	}
	return nil
}

func (p *planParser) readStages(*yaml.Node) error {
	return yamlfile.EachMapping(p.file, "stages", &p.stages, func(path string, n *yaml.Node) error {
		var s rollout.Stage
		err := p.deprecated.Fields(p.file, path+".", n, map[string]yamlfile.Reader{
			"names":         yamlfile.Into(&s.Selector.Names, "a list of sidecars"),
			"zone":          yamlfile.Into(&s.Selector.Zone, "a zone"),
			"count":         yamlfile.Into(&s.Selector.Count, "a number from 1 on"),
			"share":         yamlfile.Into(&s.Selector.Share, "a share above 0, up to 1"),
			"control":       yamlfile.Into(&s.ControlCount, "a number"),
			"min_bake_time": yamlfile.IntoDuration(&s.MinBakeTime, 0, maxStageTime),
		}, renamedStageFields)
		p.result.Plan.Stages = append(p.result.Plan.Stages, s)
		return err
	})
}
