package wiring

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"testing"
)

const module = "petrelhook/"

// rooms says which packages of this module each package may import, itself and by way of others. A pattern that ends in
// a star stands for what lies under it. Where a package is in no line the test fails: somebody has to say where it
// belongs.
var rooms = []struct{ room, may string }{
	{"balance", ""},
	{"internal/message", ""},
	{"internal/sock", ""},
	{"internal/front", "internal/message"},
	{"internal/member", ""},
	{"internal/upstream", "internal/message"},
	{"internal/admit", ""},
	{"internal/progress", ""},
	{"internal/membudget", ""},
	{"internal/handover", ""},
	{"internal/lifecycle", ""},
	{"internal/logwriter", ""},
	{"internal/lease", ""},
	{"internal/replica", "internal/distribute internal/share internal/lease internal/rollout"},
	{"internal/replica/disk", "internal/distribute internal/share internal/lease internal/replica internal/rollout"},
	{"internal/monotonic", "internal/lease"},
	{"internal/judge", ""},
	{"internal/agent", "internal/distribute internal/rollout"},
	{"internal/yamlfile", ""},
	{"internal/command", ""},
	{"internal/machine", "internal/distribute internal/subscribe internal/agent internal/rollout internal/release internal/yamlfile internal/counts internal/front internal/message internal/upstream internal/rpc"},
	{"internal/rpc", ""},
	{"internal/driver", "internal/subscribe internal/distribute internal/share internal/evidence internal/machine internal/agent internal/rollout internal/release internal/yamlfile internal/counts internal/front internal/message internal/upstream internal/rpc internal/judge internal/fleet internal/lease internal/replica internal/replica/disk internal/monotonic lease"},
	{"cmd/petrelagent", "internal/distribute internal/subscribe internal/command internal/machine internal/agent internal/rollout internal/release internal/yamlfile internal/counts internal/front internal/message internal/upstream internal/rpc"},
	{"internal/evidence", "internal/distribute internal/rollout internal/judge internal/agent internal/counts internal/front internal/message internal/upstream"},
	{"internal/counts", "internal/front internal/message internal/upstream"},
	{"internal/rollout", ""},
	{"internal/share", "internal/lease"},
	{"internal/duty", ""},
	{"internal/distribute", ""},
	{"internal/subscribe", "internal/distribute internal/rpc"},
	{"internal/capacity", "internal/yamlfile"},
	{"internal/rollout/report", "internal/rollout internal/judge internal/chart"},
	{"internal/chart", ""},
	{"internal/release", ""},
	{"internal/fleet", "internal/distribute internal/share internal/rollout internal/yamlfile internal/rpc internal/lease internal/replica internal/replica/disk internal/monotonic"},
	{"lease", "internal/distribute internal/share internal/rollout internal/yamlfile internal/rpc internal/fleet internal/lease internal/replica internal/replica/disk internal/monotonic"},
	{"cmd/petrelfleet", "internal/subscribe internal/distribute internal/share internal/command internal/evidence lease internal/driver internal/judge internal/machine internal/agent internal/release internal/counts internal/front internal/message internal/upstream internal/rollout internal/yamlfile internal/rpc internal/fleet internal/lease internal/replica internal/replica/disk internal/monotonic"},
	{"internal/settings", ""},
	{"internal/routetable", ""},
	{"internal/rotation", ""},
	{"internal/eventstream", ""},
	{"internal/quota", ""},
	{"internal/registry", ""},
	{"internal/transport", ""},
	{"internal/placement", "internal/rotation"},
	{"internal/outlier", ""},
	{"internal/backend", "internal/sock internal/transport"},
	{"internal/latency", ""},
	{"internal/replication", ""},
	{"internal/storage", "internal/replication"},
	{"internal/membership", "internal/replication"},
	{"internal/operatorapi", "internal/replication internal/routetable"},
	{"internal/dissemination", "internal/outlier internal/placement internal/quota internal/rotation internal/membership internal/registry internal/replication internal/routetable"},
	{"internal/gateway", "internal/backend internal/eventstream internal/latency internal/outlier internal/placement internal/quota internal/registry internal/rotation internal/routetable internal/sock internal/transport"},
	{"internal/node", "internal/*"},
	{"cmd/petrelrouter", "internal/*"},
	{"internal/admin", "internal/lifecycle"},
	{"internal/connlimit", "internal/admit internal/message internal/membudget internal/sock"},
	{"internal/front/*", "internal/front internal/message internal/connlimit internal/admit internal/sock internal/lifecycle internal/progress internal/membudget"},
	{"internal/member/*", "internal/member internal/message"},
	{"internal/upstream/reuse", ""},
	{"internal/upstream/*", "internal/upstream internal/upstream/reuse internal/message internal/sock internal/membudget"},
	{"internal/core", "balance internal/front internal/member internal/upstream internal/message"},
	{"internal/wire", "balance"},
	{"internal/config", "balance internal/wire internal/member internal/member/* internal/message"},
	{"internal/wiring", "balance internal/*"},
	{"internal/rig", ""},
	{"internal/rig/memnet", "internal/sock"},
	{"internal/rig/loopback", "internal/sock"},
	{"internal/rig/link", "internal/sock"},
	{"internal/rig/belief", ""},
	{"internal/rig/group", "internal/distribute internal/lease internal/replica internal/rollout internal/share"},
	{"internal/rig/statement", ""},
	{"internal/rig/deployment", "balance internal/* lease"},
	{"internal/rig/contend", "internal/* lease"},
	{"internal/rig/scale", "balance internal/* lease"},
	{"internal/rig/*", "balance internal/*"},
	{"internal/peertest", ""},
	{"cmd/petrelhook", "balance internal/*"},
	{"cmd/petrelctl", "balance internal/* lease"},
	{"cmd/adapter", "balance internal/wire"},
}

// never says what must not be imported even where a line of rooms is wide.
var never = []struct{ room, not string }{
	{"internal/wiring", "internal/rig/* internal/peertest"},
	{"cmd/petrelhook", "internal/rig/* internal/peertest"},
	{"internal/rig/*", "internal/peertest"},
	{"cmd/petrelctl", "internal/peertest"},
	{"*", "cmd/*"},
}

func matches(pattern, name string) bool {
	if under, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, under)
	}
	return pattern == name
}

func anyOf(patterns, name string) bool {
	for _, p := range strings.Fields(patterns) {
		if matches(p, name) {
			return true
		}
	}
	return false
}

// misplaced says what is wrong with a package that imports others of this module.
func misplaced(name string, imports []string) (wrong []string) {
	may, found := "", false
	for _, r := range rooms {
		if found = matches(r.room, name); found {
			may = r.may
			break
		}
	}
	if !found {
		return []string{fmt.Sprintf("%s is in no room: say in this test what it may import", name)}
	}
	for _, to := range imports {
		bad := !anyOf(may, to)
		for _, n := range never {
			bad = bad || matches(n.room, name) && anyOf(n.not, to)
		}
		if bad {
			wrong = append(wrong, fmt.Sprintf("%s imports %s", name, to))
		}
	}
	return wrong
}

// Imports point down: a front can't name a server, a source can't name a request, nobody but the core (and those who
// read settings) can name the module. Go itself sees to it that there is no circle.
func TestImportsPointDown(t *testing.T) {
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
		var own []string
		for _, to := range p.Deps {
			if rest, ok := strings.CutPrefix(to, module); ok {
				own = append(own, rest)
			}
		}
		for _, wrong := range misplaced(name, own) {
			t.Error(wrong)
		}
		for _, to := range p.Imports {
			if net := to == "net" || strings.HasPrefix(to, "net/") || to == "os" || to == "syscall"; net && (name == "balance" || name == "internal/core" || name == "internal/front" || name == "internal/member" || name == "internal/upstream" || name == "internal/message") {
				t.Errorf("%s imports %s: it knows neither sockets nor files", name, to)
			}
		}
	}
	if packages < len(rooms) {
		t.Errorf("%d packages: too few to be all", packages)
	}
}

// The check itself sees each of the ways in which rooms could grow together.
func TestMisplacedImportsAreSeen(t *testing.T) {
	for _, c := range []struct{ from, to string }{
		{"internal/front/platform", "internal/upstream"}, {"internal/front/platform", "internal/core"},
		{"internal/front/graphql", "internal/member"}, {"internal/front/graphql", "balance"},
		{"internal/member/discovery", "internal/front"}, {"internal/member/files", "internal/core"},
		{"internal/upstream/http1", "balance"}, {"internal/upstream/http1", "internal/front"},
		{"internal/core", "internal/upstream/http1"}, {"internal/core", "internal/config"}, {"internal/core", "internal/wiring"},
		{"internal/wiring", "internal/rig/standin"}, {"internal/config", "internal/core"}, {"balance", "internal/message"},
		{"internal/rig/memnet", "internal/rig/standin"}, {"cmd/petrelhook", "internal/rig/load"}, {"internal/connlimit", "internal/front"},
		{"internal/unheard-of", "balance"},
	} {
		if len(misplaced(c.from, []string{c.to})) == 0 {
			t.Errorf("%s may import %s", c.from, c.to)
		}
	}
	if wrong := misplaced("internal/core", []string{"balance", "internal/front"}); wrong != nil {
		t.Error(wrong)
	}
}
