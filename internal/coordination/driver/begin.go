package driver

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
)

// BeginResult describes a change that was begun, or one that Begin refused because of its findings.
type BeginResult struct {
	Change   string            `json:"change,omitempty"` // name of the change; "": Begin refused it because of its findings
	Sidecars int               `json:"sidecars"`
	Findings []release.Finding `json:"findings"`
}

// Begin validates a plan against the agents' current state and begins the change in the log. It refuses the plan unless every agent
// answers and has both releases complete, the new program accepts the new settings on every machine, the settings differ only in fields
// that may differ side by side, the stages fit the sidecars, and all sidecars run the old release. stepsDone says that the operator has
// completed the additional steps that fields of the kind TwoSteps require. If the settings are refused, the result has the findings
// besides the error.
func Begin(ctx context.Context, operator *fleet.Operator, client *http.Client, file *PlanFile, stepsDone bool) (*BeginResult, error) {
	answers := surveyAgents(ctx, client, file)
	start, err := newStart(file, answers)
	if err != nil {
		return nil, err
	}
	settings := answers[0].settings // all agents have equal releases
	findings, err := release.Compare(settings[0], settings[1])
	if err != nil {
		return nil, err
	}
	result := &BeginResult{Sidecars: len(start.Members), Findings: findings}
	if err := checkFindings(findings, stepsDone); err != nil {
		return result, err
	}
	result.Change = strings.ToLower(rand.Text()[:12])
	response, err := operator.Call(ctx, fleet.Request{Rollout: &rollout.Command{Application: file.Plan.Application, Change: result.Change,
		AtMillis: time.Now().UnixMilli(), Start: start}})
	if err == nil {
		err = response.Rollout.Err
	}
	return result, err
}

// agentAnswer has the responses of one agent about a plan.
type agentAnswer struct {
	sidecars []SidecarStatus
	settings [2][]byte // settings of the old and of the new release
	err      error
}

// surveyAgents requests the sidecars of all agents of a plan and has the agents check both releases. The answers are in the order of
// file.Agents.
func surveyAgents(ctx context.Context, client *http.Client, file *PlanFile) []agentAnswer {
	answers := make([]agentAnswer, len(file.Agents))
	forEach(len(file.Agents), func(i int) {
		answer, addr := &answers[i], file.Agents[i]
		status, err := callAgent[machine.StatusRequest, machine.Status](ctx, client, addr, machine.PathStatus,
			&machine.StatusRequest{Version: machine.Version, Application: file.Plan.Application})
		if answer.err = err; err != nil {
			return
		}
		answer.sidecars = status.Sidecars
		for n, id := range []string{file.Plan.From, file.Plan.To} {
			checked, err := callAgent[machine.CheckRequest, machine.CheckResponse](ctx, client, addr, machine.PathCheck,
				&machine.CheckRequest{Version: machine.Version, Release: id})
			if answer.err = err; err != nil {
				return
			}
			answer.settings[n] = checked.Settings
		}
	})
	return answers
}

// newStart collects the members of a change and their reports. It returns the first error of an agent, or an error if two agents report the
// same sidecar.
func newStart(file *PlanFile, answers []agentAnswer) (*rollout.Start, error) {
	start, agentOf := &rollout.Start{Plan: file.Plan}, map[string]string{}
	for i, answer := range answers {
		addr := file.Agents[i]
		if answer.err != nil {
			return nil, fmt.Errorf("agent %s: %w", addr, answer.err)
		}
		for _, s := range answer.sidecars {
			if other, twice := agentOf[s.Sidecar]; twice {
				return nil, fmt.Errorf("agent %s: sidecar %s is also that of agent %s", addr, s.Sidecar, other)
			}
			agentOf[s.Sidecar] = addr
			start.Members = append(start.Members, rollout.Member{Name: s.Sidecar, Zone: s.Zone, Agent: addr})
			start.Reports = append(start.Reports, s.Report)
		}
	}
	return start, nil
}

// checkFindings returns an error if the old and the new settings must not be in use side by side.
func checkFindings(findings []release.Finding, stepsDone bool) error {
	worst := release.Worst(findings)
	if worst == release.SideBySide || worst == release.TwoSteps && stepsDone {
		return nil
	}
	var reasons []string
	for _, f := range findings {
		if f.Kind != release.SideBySide {
			reasons = append(reasons, f.String())
		}
	}
	return fmt.Errorf("old and new must not run side by side (%v): %s", worst, strings.Join(reasons, "; "))
}
