package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/share"
	"petrelhook/internal/rig/coordinator"
)

// Runs the rollout subcommands through the life of a change that is paused, resumed and aborted, and checks their exit codes and output.
func TestRolloutCommands(t *testing.T) {
	addr, _ := coordinator.StartForTest(t)
	start := &rollout.Start{Plan: rollout.Plan{Application: "permits", From: "old", To: "new", MaxConcurrent: 1, MaxUnavailable: 1, ProgressTimeout: time.Hour,
		Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 1}}}}, Members: []rollout.Member{{Name: "n0"}}, Reports: []rollout.Report{{Sidecar: "n0", Release: "old", Ready: true}}}
	begin := func() {
		response, err := (&fleet.Operator{Addrs: []string{addr}}).Call(t.Context(), fleet.Request{Rollout: &rollout.Command{Application: "permits", Change: "c1", Start: start}})
		if err != nil || response.Rollout.Error != "" {
			t.Fatal(err, response)
		}
	}
	planText := "application: permits\nfrom: old\nto: new\nagents: [\"" + peertest.DeadAddr(t) + "\"]\nstages: [{share: 1}]\n"
	plan := writeFile(t, "plan.yaml", planText)
	page := filepath.Join(t.TempDir(), "page.html")
	for i, c := range []struct {
		args string
		code int
		want string
	}{
		{"status permits", 1, "permits: no change was ever begun"},
		{"start " + writeFile(t, "bad.yaml", "application: permits\nfrom: a\n"), 1, "bad.yaml:1:1: application, from, to: write all three"},
		{"start " + plan, 1, "agent 127.0.0.1:"},
		{"start " + writeFile(t, "old.yaml", planText+"patience: 1m\n"), 1, "old.yaml:6:11: patience: this is called progress_timeout now; write that\npetrelhookctl: agent 127.0.0.1:"},
		{"", 0, ""},
		{"status permits", 0, "sidecars: n0"},
		{"pause permits --why lunch", 0, "paused"},
		{"status permits", 1, "lunch"},
		{"status permits --watch", 1, "permits: change c1 paused, stage 1 of 1 lunch"},
		{"resume permits", 0, "running"},
		{"abort permits --why enough", 0, "taking back"},
		{"status permits --output json", 1, `"why": "enough"`},
		{"history permits", 0, "enough"},
		{"explain permits", 0, "rolling back from stage 1: enough"},
		{"report permits", 2, "write --html FILE, --parquet FILE, or both"},
		{"report permits --html " + page, 0, ""},
		{"report permits --parquet /none/x", 1, "/none/x"},
		{"status permits --watch --every 1ms", 2, "--every: 1ms"},
		{"abort permits --output xml", 2, "--output"},
	} {
		if c.args == "" {
			begin()
			continue
		}
		checkCommand(t, i, addr, "rollout "+c.args, c.code, c.want)
	}
}

// checkCommand runs a subcommand against the coordinator at addr, and checks its exit code and that its output contains want. i is the number
// of the test's step, for the error.
func checkCommand(t *testing.T, i int, addr, command string, wantCode int, want string) {
	t.Helper()
	args := append(strings.Fields(command), "--addrs", addr)
	if code, out, errs := call(t.Context(), args...); code != wantCode || !strings.Contains(out+errs, want) {
		t.Errorf("%d: %s: %d %s%s, want %d %s", i, command, code, out, errs, wantCode, want)
	}
}

// A release must get the same name each time it is added.
func TestReleaseAdd(t *testing.T) {
	program, settings, store := writeFile(t, "p", "#!/bin/sh\n"), writeFile(t, "s.json", "{}"), filepath.Join(t.TempDir(), "store")
	var names []string
	for range 2 {
		code, out, errs := call(t.Context(), "release", "add", "--store", store, "--program", program, "--settings", settings)
		if code != 0 || len(out) != 33 {
			t.Fatal(code, out, errs)
		}
		names = append(names, out)
	}
	if names[0] != names[1] {
		t.Error(names)
	}
	if code, _, errs := call(t.Context(), "release", "add", "--store", store, "--program", "/none", "--settings", settings); code != 1 || !strings.Contains(errs, "/none") {
		t.Error(code, errs)
	}
}

// A limit can be created and changed, a change of its fixed fields must be refused, and a member with demand must be listed with its
// allocation.
func TestShareCommands(t *testing.T) {
	addr, _ := coordinator.StartForTest(t)
	o := &fleet.Operator{Addrs: []string{addr}}
	for i, c := range []struct {
		args string
		code int
		want string
	}{
		{"set probes --members 3", 2, "units: -1; write 0 to"},
		{"set ended --units 0 --members 3", 0, ""},
		{"set probes --units 10 --members 3 --floor 3 --period 2s", 0, ""},
		{"set probes --units 20 --members 3 --floor 3 --period 2s", 0, ""},
		{"set probes --units 20 --members 4 --floor 3 --period 2s", 1, "do not change"},
		{"", 0, ""},
		{"list", 0, "probes  5 of 20 allocated per period of 2s  floor 3 for 3 members"},
		{"list", 0, "allocated 5, demand 5, fair share 5.00 per period  weight 1, without contact 1.00"},
	} {
		if c.args == "" {
			peertest.Eventually(t, "the member gets an allocation", func() bool {
				response, err := o.Call(t.Context(), fleet.Request{Share: &replica.ShareRequest{Limit: "probes", Request: share.AllocationRequest{Member: "m1", Demand: 5}}})
				return err == nil && response.Share.Units > 0
			})
			continue
		}
		checkCommand(t, i, addr, "share "+c.args, c.code, c.want)
	}
}
