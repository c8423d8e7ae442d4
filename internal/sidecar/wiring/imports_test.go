package wiring

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"testing"
)

const module = "petrelhook/"

// layers lists which packages of this module each package may import, directly or through others. The first line that matches a package
// applies. A pattern that ends in a star matches all names with that prefix. The test fails for a package that matches no line, so that
// whoever adds a package decides what it may import.
var layers = []struct{ name, allowed string }{
	{"balance", ""},
	{"internal/router", ""},
	{"internal/sidecar", ""},
	{"internal/coordination", ""},
	{"internal/common", ""},
	{"internal/sidecar/message", ""},
	{"internal/common/sock", ""},
	{"internal/common/clientlimit", "internal/common/sock internal/common/progress"},
	{"internal/sidecar/front", "internal/sidecar/message"},
	{"internal/sidecar/member", ""},
	{"internal/sidecar/upstream", "internal/sidecar/message"},
	{"internal/sidecar/admission", ""},
	{"internal/common/progress", ""},
	{"internal/sidecar/membudget", ""},
	{"internal/sidecar/handover", ""},
	{"internal/sidecar/lifecycle", ""},
	{"internal/common/logwriter", ""},
	{"internal/coordination/lease", ""},
	{"internal/coordination/replica", "internal/coordination/distribute internal/coordination/share internal/coordination/lease internal/coordination/rollout"},
	{"internal/coordination/replica/disk", "internal/common/boltfile internal/coordination/distribute internal/coordination/share internal/coordination/lease internal/coordination/replica internal/coordination/rollout"},
	{"internal/coordination/monotonic", "internal/coordination/lease"},
	{"internal/coordination/judge", ""},
	{"internal/coordination/agent", "internal/coordination/distribute internal/coordination/rollout"},
	{"internal/common/yamlfile", ""},
	{"internal/common/command", "internal/common/logwriter"},
	{"internal/coordination/machine", "internal/coordination/distribute internal/coordination/subscribe internal/coordination/agent internal/coordination/rollout internal/coordination/release internal/common/yamlfile internal/sidecar/counts internal/sidecar/front internal/sidecar/message internal/sidecar/upstream internal/coordination/rpc internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"internal/coordination/rpc", "internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"internal/coordination/driver", "internal/common/boltfile internal/coordination/subscribe internal/coordination/distribute internal/coordination/share internal/coordination/evidence internal/coordination/machine internal/coordination/agent internal/coordination/rollout internal/coordination/release internal/common/yamlfile internal/sidecar/counts internal/sidecar/front internal/sidecar/message internal/sidecar/upstream internal/coordination/rpc internal/coordination/judge internal/coordination/fleet internal/coordination/lease internal/coordination/replica internal/coordination/replica/disk internal/coordination/monotonic lease internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"cmd/petrelhook-agent", "internal/coordination/distribute internal/coordination/subscribe internal/common/logwriter internal/common/command internal/coordination/machine internal/coordination/agent internal/coordination/rollout internal/coordination/release internal/common/yamlfile internal/sidecar/counts internal/sidecar/front internal/sidecar/message internal/sidecar/upstream internal/coordination/rpc internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"internal/coordination/evidence", "internal/coordination/distribute internal/coordination/rollout internal/coordination/judge internal/coordination/agent internal/sidecar/counts internal/sidecar/front internal/sidecar/message internal/sidecar/upstream"},
	{"internal/sidecar/counts", "internal/sidecar/front internal/sidecar/message internal/sidecar/upstream"},
	{"internal/coordination/rollout", ""},
	{"internal/coordination/share", "internal/coordination/lease"},
	{"internal/coordination/assignment", ""},
	{"internal/coordination/distribute", ""},
	{"internal/coordination/subscribe", "internal/coordination/distribute internal/coordination/rpc internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"internal/coordination/capacity", "internal/common/yamlfile"},
	{"internal/coordination/rollout/report", "internal/coordination/rollout internal/coordination/judge internal/common/chart"},
	{"internal/common/chart", ""},
	{"internal/coordination/release", ""},
	{"internal/coordination/fleet", "internal/common/boltfile internal/coordination/distribute internal/coordination/share internal/coordination/rollout internal/common/yamlfile internal/coordination/rpc internal/coordination/lease internal/coordination/replica internal/coordination/replica/disk internal/coordination/monotonic internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"lease", "internal/common/boltfile internal/coordination/distribute internal/coordination/share internal/coordination/rollout internal/common/yamlfile internal/coordination/rpc internal/coordination/fleet internal/coordination/lease internal/coordination/replica internal/coordination/replica/disk internal/coordination/monotonic internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"cmd/petrelhook-coordinator", "internal/common/boltfile internal/coordination/subscribe internal/coordination/distribute internal/coordination/share internal/common/logwriter internal/common/sock internal/common/startup internal/common/command internal/coordination/evidence lease internal/coordination/driver internal/coordination/judge internal/coordination/machine internal/coordination/agent internal/coordination/release internal/sidecar/counts internal/sidecar/front internal/sidecar/message internal/sidecar/upstream internal/coordination/rollout internal/common/yamlfile internal/coordination/rpc internal/coordination/fleet internal/coordination/lease internal/coordination/replica internal/coordination/replica/disk internal/coordination/monotonic internal/common/clientlimit internal/common/progress"},
	{"internal/router/settings", ""},
	{"internal/router/routetable", ""},
	{"internal/router/rotation", ""},
	{"internal/router/eventstream", ""},
	{"internal/router/quota", ""},
	{"internal/router/registry", ""},
	{"internal/router/tombstone", "internal/router/registry"},
	{"internal/router/transport", "internal/common/clientlimit internal/common/sock internal/common/progress"},
	{"internal/router/placement", "internal/router/rotation"},
	{"internal/router/outlier", ""},
	{"internal/router/backend", "internal/common/sock internal/router/transport internal/common/clientlimit internal/common/progress"},
	{"internal/router/latency", ""},
	{"internal/router/replication", ""},
	{"internal/router/replication/guards", ""},
	{"internal/router/storage", "internal/common/boltfile internal/router/replication"},
	{"internal/router/membership", "internal/router/replication"},
	{"internal/router/proximity", "internal/router/replication"},
	{"internal/router/homeselection", "internal/router/proximity internal/router/replication"},
	{"internal/router/quotapool", "internal/router/proximity internal/router/quota internal/router/replication"},
	{"internal/router/operatorapi", "internal/router/replication internal/router/routetable"},
	{"internal/router/dissemination", "internal/router/outlier internal/router/placement internal/router/quota internal/router/rotation internal/router/membership internal/router/registry internal/router/replication internal/router/routetable"},
	{"internal/router/wireformat", "internal/router/dissemination internal/router/outlier internal/router/placement internal/router/quota internal/router/rotation internal/router/membership internal/router/registry internal/router/replication internal/router/routetable"},
	{"internal/common/gobschema", ""},
	{"internal/common/jsonform", ""},
	{"internal/router/gateway", "internal/router/backend internal/router/eventstream internal/router/latency internal/router/outlier internal/router/placement internal/router/quota internal/router/registry internal/router/rotation internal/router/routetable internal/common/sock internal/router/transport internal/common/clientlimit internal/common/progress"},
	{"internal/router/node", "internal/*"},
	{"cmd/petrelhook-router", "internal/*"},
	{"internal/sidecar/admin", "internal/sidecar/lifecycle"},
	{"internal/sidecar/connlimit", "internal/sidecar/admission internal/sidecar/message internal/sidecar/membudget internal/common/sock"},
	{"internal/sidecar/front/*", "internal/sidecar/front internal/sidecar/message internal/sidecar/connlimit internal/sidecar/admission internal/common/sock internal/sidecar/lifecycle internal/common/progress internal/sidecar/membudget"},
	{"internal/sidecar/member/*", "internal/sidecar/member internal/sidecar/message"},
	{"internal/sidecar/upstream/reuse", ""},
	{"internal/sidecar/upstream/*", "internal/sidecar/upstream internal/sidecar/upstream/reuse internal/sidecar/message internal/common/sock internal/sidecar/membudget"},
	{"internal/sidecar/core", "balance internal/sidecar/front internal/sidecar/member internal/sidecar/upstream internal/sidecar/message"},
	{"internal/sidecar/wire", "balance"},
	{"internal/sidecar/config", "balance internal/sidecar/wire internal/sidecar/member internal/sidecar/member/* internal/sidecar/message internal/common/sock"},
	{"internal/sidecar/wiring", "balance internal/*"},
	{"internal/rig", ""},
	{"internal/rig/memnet", "internal/common/sock"},
	{"internal/rig/loopback", "internal/common/sock"},
	{"internal/rig/link", "internal/common/sock"},
	{"internal/rig/belief", ""},
	{"internal/rig/group", "internal/coordination/distribute internal/coordination/lease internal/coordination/replica internal/coordination/rollout internal/coordination/share"},
	{"internal/rig/statement", ""},
	{"internal/rig/deployment", "balance internal/* lease"},
	{"internal/rig/contend", "internal/* lease"},
	{"internal/rig/simhost", "balance internal/*"},
	{"internal/rig/simcoordinator", "internal/* lease"},
	{"internal/rig/scale", "balance internal/* lease"},
	{"internal/rig/*", "balance internal/*"},
	{"internal/common/await", ""},
	{"internal/common/startup", ""},
	{"internal/common/hangup", ""},
	{"internal/common/boltfile", ""},
	{"internal/common/peertest", "internal/common/await internal/common/sock"},
	{"cmd/petrelhook", "balance internal/*"},
	{"cmd/petrelhookctl", "balance internal/* lease"},
	{"cmd/adapter", "balance internal/sidecar/wire"},
}

// forbidden lists imports that are not allowed even where a line of layers allows them.
var forbidden = []struct{ name, denied string }{
	{"internal/sidecar/wiring", "internal/rig/* internal/common/peertest internal/common/await"},
	{"cmd/petrelhook", "internal/rig/* internal/common/peertest internal/common/await"},
	{"internal/rig/*", "internal/common/peertest"},
	{"cmd/petrelhookctl", "internal/common/peertest internal/common/await"},
	{"*", "cmd/*"},
	{"internal/common/*", "internal/sidecar/* internal/coordination/* internal/router/*"},
	{"internal/router/*", "internal/sidecar/* internal/coordination/*"},
	{"internal/sidecar/*", "internal/coordination/* internal/router/*"},
	{"internal/coordination/*", "internal/router/*"},
}

func matches(pattern, name string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}

func matchesAny(patterns, name string) bool {
	for _, p := range strings.Fields(patterns) {
		if matches(p, name) {
			return true
		}
	}
	return false
}

// disallowedImports returns a message for each import of a package that the layers do not allow, or one message for a package in no layer.
func disallowedImports(name string, imports []string) (wrong []string) {
	allowed, found := "", false
	for _, layer := range layers {
		if found = matches(layer.name, name); found {
			allowed = layer.allowed
			break
		}
	}
	if !found {
		return []string{fmt.Sprintf("%s is in no layer: add a line to layers for it", name)}
	}
	for _, imported := range imports {
		disallowed := !matchesAny(allowed, imported)
		for _, rule := range forbidden {
			disallowed = disallowed || matches(rule.name, name) && matchesAny(rule.denied, imported)
		}
		if disallowed {
			wrong = append(wrong, fmt.Sprintf("%s imports %s", name, imported))
		}
	}
	return wrong
}

// Each package imports only what its layer allows. A front does not depend on servers, a source of server lists does not depend on requests,
// and only the core and the packages that read settings depend on the decision module. Go itself excludes cycles.
func TestImportsFollowTheLayers(t *testing.T) {
	out, err := exec.Command("go", "list", "-json=ImportPath,Deps,Imports", "petrelhook/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := 0
	for in := json.NewDecoder(strings.NewReader(string(out))); in.More(); packages++ {
		var p struct {
			ImportPath    string
			Deps, Imports []string
		}
		if err := in.Decode(&p); err != nil {
			t.Fatal(err)
		}
		name := strings.TrimPrefix(p.ImportPath, module)
		var moduleImports []string
		for _, to := range p.Deps {
			if rest, ok := strings.CutPrefix(to, module); ok {
				moduleImports = append(moduleImports, rest)
			}
		}
		for _, wrong := range disallowedImports(name, moduleImports) {
			t.Error(wrong)
		}
		for _, to := range p.Imports {
			if net := to == "net" || strings.HasPrefix(to, "net/") || to == "os" || to == "syscall"; net && (name == "balance" || name == "internal/sidecar/core" || name == "internal/sidecar/front" || name == "internal/sidecar/member" || name == "internal/sidecar/upstream" || name == "internal/sidecar/message") {
				t.Errorf("%s imports %s: it must not use sockets or files", name, to)
			}
		}
	}
	if packages < len(layers) {
		t.Errorf("%d packages: fewer than lines in layers", packages)
	}
}

// disallowedImports finds each kind of dependency between layers that is not allowed.
func TestDisallowedImportsAreDetected(t *testing.T) {
	for _, c := range []struct{ from, to string }{
		{"internal/sidecar/front/platform", "internal/sidecar/upstream"}, {"internal/sidecar/front/platform", "internal/sidecar/core"},
		{"internal/sidecar/front/graphql", "internal/sidecar/member"}, {"internal/sidecar/front/graphql", "balance"},
		{"internal/sidecar/member/discovery", "internal/sidecar/front"}, {"internal/sidecar/member/files", "internal/sidecar/core"},
		{"internal/sidecar/upstream/http1", "balance"}, {"internal/sidecar/upstream/http1", "internal/sidecar/front"},
		{"internal/sidecar/core", "internal/sidecar/upstream/http1"}, {"internal/sidecar/core", "internal/sidecar/config"}, {"internal/sidecar/core", "internal/sidecar/wiring"},
		{"internal/sidecar/wiring", "internal/rig/standin"}, {"internal/sidecar/config", "internal/sidecar/core"}, {"balance", "internal/sidecar/message"},
		{"internal/sidecar/core", "internal/router/placement"}, {"internal/router/gateway", "internal/sidecar/message"}, {"internal/coordination/driver", "internal/router/quota"},
		{"internal/common/sock", "internal/sidecar/message"}, {"internal/router/node", "internal/coordination/lease"},
		{"internal/rig/memnet", "internal/rig/standin"}, {"cmd/petrelhook", "internal/rig/load"}, {"internal/sidecar/connlimit", "internal/sidecar/front"},
		{"internal/unheard-of", "balance"},
	} {
		if len(disallowedImports(c.from, []string{c.to})) == 0 {
			t.Errorf("%s may import %s", c.from, c.to)
		}
	}
	if wrong := disallowedImports("internal/sidecar/core", []string{"balance", "internal/sidecar/front"}); wrong != nil {
		t.Error(wrong)
	}
}
