package machine

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

// agentFile is an agent's settings file with every setting that has a deprecated name.
const agentFile = `application: permits
data: /d
releases: /r
release: x
limits:
  ready_timeout: 7s
  trial_period: 8s
  termination_timeout: 9s
  isolation_timeout: 10s
  initial_restart_backoff: 11s
  max_restart_backoff: 12s
  contact_timeout: 13s
  poll_interval: 14s
sidecars:
  - {name: n0, listen: "127.0.0.1:1", admin_addresses: ["127.0.0.1:2", "127.0.0.1:3"]}
  - {name: n1, listen: "127.0.0.1:4", admin_addresses: ["127.0.0.1:5", "127.0.0.1:6"]}
configuration: {coordinators: ["127.0.0.1:7"], member: m, trial_period: 1s}
`

// A setting under its deprecated name has the same effect as under its current name, with one warning that gives the current
// name. A file with both names is an error.
func TestDeprecatedAgentSettings(t *testing.T) {
	want, err := Parse("a", []byte(agentFile))
	if err != nil || len(want.Warnings) != 0 {
		t.Fatal(err, want)
	}
	for _, c := range []struct{ current, deprecated, warning string }{
		{"ready_timeout: 7s", "ready: 7s", "a:6:10: limits.ready: this is called ready_timeout now; write that"},
		{"trial_period: 8s", "trial: 8s", "a:7:10: limits.trial: this is called trial_period now; write that"},
		{"termination_timeout: 9s", "end: 9s", "a:8:8: limits.end: this is called termination_timeout now; write that"},
		{"isolation_timeout: 10s", "cut_off: 10s", "a:9:12: limits.cut_off: this is called isolation_timeout now; write that"},
		{"initial_restart_backoff: 11s", "restart_pause: 11s", "a:10:18: limits.restart_pause: this is called initial_restart_backoff now; write that"},
		{"max_restart_backoff: 12s", "restart_pause_most: 12s", "a:11:23: limits.restart_pause_most: this is called max_restart_backoff now; write that"},
		{"contact_timeout: 13s", "heard: 13s", "a:12:10: limits.heard: this is called contact_timeout now; write that"},
		{"poll_interval: 14s", "look: 14s", "a:13:9: limits.look: this is called poll_interval now; write that"},
		{"admin_addresses:", "doors:", "a:15:46: sidecars[0].doors: this is called admin_addresses now; write that"},
		{"trial_period: 1s", "trial: 1s", "a:17:66: configuration.trial: this is called trial_period now; write that"},
	} {
		got, err := Parse("a", []byte(strings.ReplaceAll(agentFile, c.current, c.deprecated)))
		if err != nil {
			t.Errorf("%s: %v", c.deprecated, err)
			continue
		}
		if !slices.Equal(got.Warnings, []string{c.warning}) {
			t.Errorf("%s: warnings %q, want %q", c.deprecated, got.Warnings, c.warning)
		}
		if got.Warnings = nil; !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, want %+v", c.deprecated, got, want)
		}
	}
	for _, c := range []struct{ current, both, problem string }{
		{"  poll_interval: 14s\n", "  poll_interval: 14s\n  look: 14s\n", "a:14:9: limits.look: the file has poll_interval as well; write poll_interval alone"},
		{"trial_period: 1s", "trial: 1s, trial_period: 1s", "a:17:66: configuration.trial: the file has trial_period as well; write trial_period alone"},
	} {
		if _, err := Parse("a", []byte(strings.Replace(agentFile, c.current, c.both, 1))); err == nil || err.Error() != c.problem {
			t.Errorf("%q: %v, want %q", c.both, err, c.problem)
		}
	}
}
