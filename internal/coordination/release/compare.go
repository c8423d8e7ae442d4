package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Kind is whether a field may differ while old and new sidecars run side by side.
type Kind uint8

// The kinds, from harmless to refused.
const (
	SideBySide Kind = iota
	TwoSteps        // in the order that Why says
	Refused
)

func (k Kind) String() string { return [...]string{"side by side", "two steps", "refused"}[k] }

// Finding is one field that differs.
type Finding struct {
	Field    string `json:"field"` // as settings.classes[plate-reserve].window_ms
	Old, New string
	Kind     Kind   `json:"-"`
	Verdict  string `json:"verdict"`
	Why      string `json:"why"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s, was %s: %v: %s", f.Field, f.New, f.Old, f.Kind, f.Why)
}

// Worst is the kind of a change as a whole.
func Worst(all []Finding) (k Kind) {
	for _, f := range all {
		k = max(k, f.Kind)
	}
	return k
}

const none = "none" // how a field that is not there is shown

// rule says what a change of a field means. Patterns have a star for what stands in brackets.
type rule struct {
	field string
	judge func(old, new any) (Kind, string)
}

func always(k Kind, why string) func(any, any) (Kind, string) {
	return func(any, any) (Kind, string) { return k, why }
}

// number is a setting as a number; otherwise stands for one that is not there.
func number(v any, otherwise float64) float64 {
	if n, ok := v.(json.Number); ok {
		if f, err := strconv.ParseFloat(n.String(), 64); err == nil {
			return f
		}
	}
	return otherwise
}

// grows judges by whether a number becomes larger.
func grows(otherwise float64, more Kind, whyMore string, less Kind, whyLess string) func(any, any) (Kind, string) {
	return func(old, new any) (Kind, string) {
		if number(new, otherwise) > number(old, otherwise) {
			return more, whyMore
		}
		return less, whyLess
	}
}

const forever = 1e300 // a window that is not there

var reach = map[any]int{nil: 2, "": 2, "all": 2, "zone": 1, "cell": 0}

// rules are all fields that the program reads; a field without one that it does not read may differ.
var rules = []rule{
	{"name", always(Refused, "processes of a sidecar meet by their name: the next would not find the one in service")},
	{"listen", always(Refused, "clients, and the next process, find the sidecar there; move clients to a sidecar of its own")},
	{"discovery", always(SideBySide, "each process asks its own; both must tell of the same servers")},
	{"admin_addr", always(SideBySide, "each process has its own")},
	{"seed", always(SideBySide, "it only draws")},
	{"limits.*", always(SideBySide, "each process keeps to its own; while there are two they share what the first has")},
	{"settings.classes", atTheEnd},
	{"settings.classes[*]", func(old, new any) (Kind, string) {
		if old == nil {
			return TwoSteps, "old sidecars refuse the class as unknown: first change all sidecars, then let clients send it"
		}
		return TwoSteps, "new sidecars refuse the class as unknown: first have clients stop to send it"
	}},
	{"settings.classes[*].effect", func(old, new any) (Kind, string) {
		free := map[any]int{"read_like": 2, "idempotency_key": 1, "non_idempotent": 0}
		if free[new] > free[old] {
			return Refused, "it becomes freely repeatable: what runs under the old effect would run twice; add a class of another name"
		}
		return TwoSteps, "method and key of a request fit one effect only: add a class of another name, move clients to it, then remove this one"
	}},
	{"settings.classes[*].group", func(old, new any) (Kind, string) {
		if reach[new] > reach[old] {
			return TwoSteps, "repeats go to more servers: first all of the wider group must drop them, then the sidecars"
		}
		return SideBySide, "repeats go to fewer servers; change the servers after the sidecars"
	}},
	{"settings.classes[*].window_ms", grows(forever,
		TwoSteps, "repeats come later: first servers must remember keys for longer, then the sidecars",
		Refused, "old sidecars repeat within the longer window until all are changed: keep servers at it, and shrink theirs last")},
	{"settings.classes[*].hard_limit_ms", grows(0,
		Refused, "clients wait no longer than the old one: what is sent after that runs for nobody; have clients wait longer, under a class of another name",
		SideBySide, "new sidecars give up sooner")},
	{"settings.classes[*].stream", always(TwoSteps, "a stream is another exchange: add a class of another name, move clients to it")},
	{"settings.classes[*].on_time_ms", always(SideBySide, "it is an aim of each sidecar")},
	{"settings.classes[*].aim_stretch", always(SideBySide, "it is an aim of each sidecar")},
	{"settings.classes[*].worth", always(SideBySide, "each sidecar sheds by its own; shares of classes differ until all are changed")},
	{"settings.classes[*].late_worth", always(SideBySide, "each sidecar sheds by its own")},
	{"settings.tenants", atTheEnd},
	{"settings.tenants[*]", always(SideBySide, "one that a sidecar does not know has no allowance there")},
	{"settings.tenants[*].allowance_per_s", always(SideBySide, "each sidecar keeps to its own part")},
	{"settings.tenants[*].share", always(SideBySide, "each sidecar keeps to its own part")},
	{"settings.zones*", always(Refused, "what was learned of zones is handed over by place: keep the list, or restart from nothing")},
	{"settings.kinds*", always(Refused, "what was learned of kinds of servers is handed over by place: keep the list, or restart from nothing")},
	{"settings.zone", always(Refused, "a sidecar does not move: start it elsewhere")},
	{"settings.discovery", always(TwoSteps, "lists are asked for or pushed: first discovery must do both, then change the sidecars, then end the old way")},
	{"settings.my_number", always(Refused, "it is one sidecar's own")},
	{"settings.peers_total", grows(1,
		SideBySide, "each takes a smaller part",
		TwoSteps, "each takes a larger part of the servers: first end the sidecars that are too many, then change the others")},
	{"settings.report.*", always(TwoSteps, "reports are read as the settings say: servers must send both forms until all sidecars are changed")},
	{"settings.limits.max_attempts", always(SideBySide, "each sidecar repeats by its own; attempts a request may grow: watch them")},
	{"settings.limits.conn_idle_ms", grows(0,
		TwoSteps, "connections are used for longer: first servers must keep them, then the sidecars",
		SideBySide, "new sidecars close sooner; change the servers after them")},
	{"settings.limits.probes", gate("probes: servers must answer them first")},
	{"settings.limits.may_tell", gate("messages between sidecars: old ones must take them first")},
	{"settings.limits.parallel_tries", gate("two tries at once: servers must allow them first")},
	{"settings.limits.cancel", always(SideBySide, own)},
	{"settings.limits.connect_timeout_ms", always(SideBySide, own)},
	{"settings.limits.max_retry_after_ms", always(SideBySide, own)},
	{"settings.limits.retry_after", always(SideBySide, own)},
	{"settings.rules.drain_grace_ms", grows(0,
		TwoSteps, "work is sent to draining servers for longer: first they must take it, then the sidecars",
		Refused, "old sidecars send for the longer grace until all are changed: servers must keep it until then; change the servers last, and then the sidecars")},
	{"settings.rules.cold_from", always(SideBySide, "how large a cold server is taken to be; see the budget")},
	{"settings.rules.cold_ms", grows(0, SideBySide, "servers are taken to be cold for longer",
		Refused, "new sidecars take servers for warm that old ones, and perhaps the servers, take for cold")},
	{"settings.rules.fall_multiple", always(SideBySide, "see the budget")},
	{"settings.rules.answer_slack_ms", always(SideBySide, own)},
	{"settings.rules.ask_within_ms", always(SideBySide, own)},
	{"settings.rules.fall_ms", always(SideBySide, "see the budget")},
	{"settings.over_share_worth", always(SideBySide, weighs)},
	{"settings.quantum_ms", always(SideBySide, weighs)},
	{"settings.result_mix.*", always(SideBySide, weighs)},
	{"settings.penalties.*", always(SideBySide, weighs)},
	{"settings.family_info.warm_keys", always(SideBySide, "keys move to other servers until all are changed")},
}

const (
	weighs = "it weighs what each sidecar does by itself"
	own    = "each sidecar keeps to its own"
)

// atTheEnd judges an order of names: what was learned is handed over by place.
func atTheEnd(old, new any) (Kind, string) {
	a, b := fmt.Sprint(old)+", ", fmt.Sprint(new)+", "
	if strings.HasPrefix(a, b) || strings.HasPrefix(b, a) {
		return SideBySide, "the others keep their places"
	}
	return Refused, "what was learned is handed over by place: keep the order, add at the end and remove from the end"
}

// gate is a permission: to give one is for others first.
func gate(first string) func(any, any) (Kind, string) {
	return func(_, new any) (Kind, string) {
		if new == true {
			return TwoSteps, first
		}
		return SideBySide, "new sidecars do it no more"
	}
}

// Compare says what differs between two configurations, field by field, and what that means while both are in use.
func Compare(old, new []byte) ([]Finding, error) {
	a, err := flat(old)
	if err != nil {
		return nil, fmt.Errorf("the old settings: %w", err)
	}
	b, err := flat(new)
	if err != nil {
		return nil, fmt.Errorf("the new settings: %w", err)
	}
	fields := maps.Clone(a)
	maps.Copy(fields, b)
	var all []Finding
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		before, was := a[field]
		now, is := b[field]
		if was == is && before == now || whole(field, a, b) {
			continue
		}
		f := Finding{Field: field, Old: show(before, was), New: show(now, is), Kind: SideBySide, Why: "the program does not read it"}
		if r := find(field); r != nil {
			f.Kind, f.Why = r.judge(before, now)
		}
		all = append(all, f)
	}
	if f, bad := budget(a, b); bad {
		all = append(all, f)
	}
	for i := range all {
		all[i].Verdict = all[i].Kind.String()
	}
	return all, nil
}

// whole reports whether a field is part of a class or tenant that is there on one side only: that is one finding.
func whole(field string, a, b map[string]any) bool {
	at := strings.LastIndex(field, "].")
	if at < 0 {
		return false
	}
	_, before := a[field[:at+1]]
	_, now := b[field[:at+1]]
	return before != now
}

// find is the rule of a field: the first pattern that fits.
func find(field string) *rule {
	for i := range rules {
		if fits(rules[i].field, field) {
			return &rules[i]
		}
	}
	return nil
}

// fits reports whether a field is that of a pattern, whose stars stand for any text.
func fits(pattern, field string) bool {
	parts := strings.Split(pattern, "*")
	if !strings.HasPrefix(field, parts[0]) {
		return false
	}
	field = field[len(parts[0]):]
	for i, p := range parts[1:] {
		if i == len(parts)-2 {
			return strings.HasSuffix(field, p) && (p == "" || strings.Count(field, "].") == strings.Count(p, "]."))
		}
		at := strings.Index(field, p)
		if at < 0 {
			return false
		}
		field = field[at+len(p):]
	}
	return field == ""
}

// budget is whether cold servers bear a mixed fleet: a sidecar gives a server that takes part s of its full work while cold, and falls
// over at f times that, s x f / 2 of its own part. The settings with the smaller s x f may be the true ones.
func budget(a, b map[string]any) (f Finding, bad bool) {
	part := func(m map[string]any) (fall, used float64) {
		size, multiple := number(m["settings.rules.cold_from"], 1), number(m["settings.rules.fall_multiple"], 0)
		return size * multiple, size * max(1, multiple/2)
	}
	oldFall, oldUsed := part(a)
	newFall, newUsed := part(b)
	falls, used := min(oldFall, newFall), max(oldUsed, newUsed)
	if oldFall == newFall || falls == 0 || used <= falls {
		return f, false
	}
	return Finding{Field: "settings.rules (cold budgets)", Old: fmt.Sprintf("falls at %.3g", oldFall), New: fmt.Sprintf("falls at %.3g", newFall), Kind: Refused,
		Why: fmt.Sprintf("while both are in use cold servers may be given %.3g of their full work, and by the stricter of both settings fall over at %.3g: change by smaller steps", used, falls)}, true
}

// flat is a configuration as fields; members of lists that have a name go by it.
func flat(text []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	delete(v, "known") // what discovery told at some time: not a setting
	all := map[string]any{}
	for k, v := range v {
		flatten(all, k, v)
	}
	return all, nil
}

func flatten(all map[string]any, at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, v := range v {
			flatten(all, at+"."+k, v)
		}
	case []any:
		var names []string
		for i, v := range v {
			m, _ := v.(map[string]any)
			name, named := m["name"].(string)
			if !named {
				flatten(all, fmt.Sprintf("%s[%d]", at, i), v)
				continue
			}
			names = append(names, name)
			all[at+"["+name+"]"] = "there"
			for k, v := range m {
				if k != "name" {
					flatten(all, at+"["+name+"]."+k, v)
				}
			}
		}
		if names != nil {
			all[at] = strings.Join(names, ", ")
		}
	default:
		all[at] = v
	}
}

func show(v any, is bool) string {
	if !is {
		return none
	}
	return fmt.Sprint(v)
}
