package member

import "testing"

// For each sequence of lists, the expected ones are accepted, and the right generation is requested next.
func TestCursor(t *testing.T) {
	servers := func(zone, kind string) []Instance { return []Instance{{ID: "s", Zone: zone, Kind: kind}} }
	own := servers("a", "m1")
	type step struct {
		list     List
		accepted bool
		after    uint64 // the generation that is requested next
	}
	for name, steps := range map[string][]step{
		"in order":                             {{List{41, true, own}, true, 41}, {List{42, false, own}, true, 42}, {List{42, false, own}, true, 42}},
		"older changes":                        {{List{41, true, own}, true, 41}, {List{40, false, own}, false, 0}, {List{42, true, own}, true, 42}},
		"an older list, once":                  {{List{41, true, own}, true, 41}, {List{40, true, own}, false, 0}, {List{41, true, own}, true, 41}},
		"restarted numbering":                  {{List{41, true, own}, true, 41}, {List{1, true, own}, false, 0}, {List{1, true, own}, true, 1}},
		"restarted numbering, changes since 0": {{List{41, true, own}, true, 41}, {List{1, false, own}, false, 0}, {List{2, false, own}, true, 2}, {List{1, false, own}, false, 0}},
		"another zone":                         {{List{41, true, own}, true, 41}, {List{50, true, servers("x", "m1")}, false, 41}},
		"another kind":                         {{List{41, true, own}, true, 41}, {List{50, true, servers("a", "x")}, false, 41}},
		"no zone given":                        {{List{41, true, servers("", "")}, true, 41}},
		"one in a new zone":                    {{List{41, true, append(servers("x", "m1"), own...)}, true, 41}},
		"empty":                                {{List{41, true, nil}, true, 41}},
		"a change in another zone":             {{List{41, true, own}, true, 41}, {List{42, false, servers("x", "x")}, true, 42}},
	} {
		c := Cursor{Zones: []string{"a", "b"}, Kinds: []string{"m1"}}
		for i, s := range steps {
			if err := c.Accept(s.list); (err == nil) != s.accepted || c.After() != s.after {
				t.Errorf("%s, step %d: %v, next after %d", name, i, err, c.After())
			}
		}
	}
	c := Cursor{}
	if c.Accept(List{41, true, servers("x", "x")}) != nil {
		t.Error("a list is rejected although zones and kinds are not known")
	}
	if c.Restart(); c.After() != 0 || c.Accept(List{1, true, own}) != nil || c.After() != 1 {
		t.Error("a lower generation of another source is not accepted")
	}
}
