package member

import "testing"

// Which lists are accepted, step by step.
func TestCursor(t *testing.T) {
	of := func(zone, kind string) []Instance { return []Instance{{ID: "s", Zone: zone, Kind: kind}} }
	own := of("a", "m1")
	type step struct {
		list     List
		accepted bool
		after    uint64 // which is requested next
	}
	for name, steps := range map[string][]step{
		"in order":                      {{List{41, true, own}, true, 41}, {List{42, false, own}, true, 42}, {List{42, false, own}, true, 42}},
		"older changes":                 {{List{41, true, own}, true, 41}, {List{40, false, own}, false, 0}, {List{42, true, own}, true, 42}},
		"an older list, once":           {{List{41, true, own}, true, 41}, {List{40, true, own}, false, 0}, {List{41, true, own}, true, 41}},
		"a source that numbers anew":    {{List{41, true, own}, true, 41}, {List{1, true, own}, false, 0}, {List{1, true, own}, true, 1}},
		"... and sends changes since 0": {{List{41, true, own}, true, 41}, {List{1, false, own}, false, 0}, {List{2, false, own}, true, 2}, {List{1, false, own}, false, 0}},
		"another zone":                  {{List{41, true, own}, true, 41}, {List{50, true, of("x", "m1")}, false, 41}},
		"another kind":                  {{List{41, true, own}, true, 41}, {List{50, true, of("a", "x")}, false, 41}},
		"no zone given":                 {{List{41, true, of("", "")}, true, 41}},
		"one in a new zone":             {{List{41, true, append(of("x", "m1"), own...)}, true, 41}},
		"empty":                         {{List{41, true, nil}, true, 41}},
		"a change in another zone":      {{List{41, true, own}, true, 41}, {List{42, false, of("x", "x")}, true, 42}},
	} {
		c := Cursor{Zones: []string{"a", "b"}, Kinds: []string{"m1"}}
		for i, s := range steps {
			if err := c.Accept(s.list); (err == nil) != s.accepted || c.After() != s.after {
				t.Errorf("%s, step %d: %v, next after %d", name, i, err, c.After())
			}
		}
	}
	c := Cursor{}
	if c.Accept(List{41, true, of("x", "x")}) != nil {
		t.Error("settings that name nothing reject a list")
	}
	if c.Restart(); c.After() != 0 || c.Accept(List{1, true, own}) != nil || c.After() != 1 {
		t.Error("another source does not number anew")
	}
}
