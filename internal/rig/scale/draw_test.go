package scale

import (
	"bytes"
	"encoding/json"
	"testing"

	"petrelhook/internal/coordination/distribute"
)

// The same seed draws the same members, each with a name of its own; another one draws others.
func TestDraw(t *testing.T) {
	names := map[string]bool{}
	zones := map[string]int{}
	for i := range 3000 {
		m := drawMember(1, i)
		if m != drawMember(1, i) || m.Name == drawMember(2, i).Name || names[m.Name] {
			t.Fatalf("%d: %+v", i, m)
		}
		names[m.Name] = true
		zones[m.Zone]++
	}
	if len(zones) != 3 || zones["a"] < 800 || zones["b"] < 800 || zones["c"] < 800 {
		t.Error(zones)
	}
}

// Each service has at least one member and some have many, the same in every process. A version has its size, and names its service.
func TestDrawServices(t *testing.T) {
	all, same := drawServices(3, 12_000), drawServices(3, 12_000)
	members := map[int]int{} // by service
	for i, s := range all {
		if members[s]++; s != same[i] || s < 0 || s >= 1100 {
			t.Fatalf("%d: %d, %d", i, s, same[i])
		}
	}
	small, largest := 0, 0
	for _, n := range members {
		if largest = max(largest, n); n < 5 {
			small++
		}
	}
	if len(members) != 1100 || largest < 400 || largest > 800 || small < 200 {
		t.Errorf("%d services, the largest of %d, %d of under five", len(members), largest, small)
	}
	if one := drawServices(3, 5); len(one) != 5 || one[0] != 0 || one[4] != 0 {
		t.Error(one)
	}
	text := content("s0017", 5)
	var v map[string]any
	if canonical, err := distribute.Canonical(text); err != nil || !bytes.Equal(canonical, text) || len(text) != 4096 || json.Unmarshal(text, &v) != nil || v["for"] != "s0017" {
		t.Errorf("%v: %s", err, text)
	}
	if bytes.HasPrefix(text, contentPrefix("s001")) || bytes.Equal(text, content("s0017", 6)) {
		t.Errorf("%s", text)
	}
}
