package scale

import (
	"fmt"
	"testing"
)

// How long versions took, calculated by hand: a newer one counts for those before it. Adoptions that no member can have fail a run.
func TestInForce(t *testing.T) {
	const s = 1_000_000_000
	services := []int{0, 1, 0}
	all := []published{{0, 1, 9 * s, 10 * s}, {1, 2, 9 * s, 11 * s}, {0, 3, 9 * s, 12 * s}}
	good := []adoption{{0, 1, 11 * s}, {0, 3, 14 * s}, {1, 2, 11*s - 5}, {2, 3, 13 * s}} // member 2 got only the newest
	took, err := inForce(all, services, good)
	if fmt.Sprint(took, err) != "[0 1 1 2 3] <nil>" {
		t.Error(took, err)
	}
	if last := newest(all); len(last) != 2 || last["s0000"] != 3 || last["s0001"] != 2 {
		t.Error(last)
	}
	for want, adoptions := range map[string][]adoption{
		"member 2 of s0000 never took revision 1":                       good[:3],
		"member 0 of s0000 took revision 2, which is not its service's": append([]adoption{{0, 2, 0}}, good...),
		"member 0 of s0000 took revision 9, which is not its service's": append([]adoption{{0, 9, 0}}, good...),
		"member 0 took revision 1 after 1":                              append([]adoption{{0, 1, 0}}, good...),
		"member 0 took revision 1 after 3":                              append([]adoption{{0, 3, 0}}, good...),
		"there is no member 3":                                          append([]adoption{{3, 1, 0}}, good...),
	} {
		if _, err := inForce(all, services, adoptions); err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// The calls in the second after a kill, and their upper bound, calculated by hand.
func TestRequestRatesAfterAKill(t *testing.T) {
	const s = 1_000_000_000
	p := &publisher{run: &run{group: &coordinatorGroup{addrs: []string{"a", "b", "c"}}}, services: []int{0, 0, 0, 1}}
	sampled := func(at int64, a, b, c uint64) []response {
		return []response{{Sample: &sample{Time: at, Waiting: map[string]int{"a": 40, "b": 30, "c": 15},
			Traffic: map[string]traffic{"a": {MessagesIn: a}, "b": {MessagesIn: b}, "c": {MessagesIn: c}}}}}
	}
	all := []published{{0, 1, 7 * s, 8 * s}, {0, 2, 7 * s, 10 * s}, {1, 3, 7 * s, 13 * s}}
	p.addRequestRates(sampled(10*s, 100, 50, 60), sampled(12*s, 900, 70, 120), 0, 10*s, all, "x_")
	want := map[string]float64{"x_asks_s": 30, "x_asks_bound_s": 40/2. + 15/3.75 + 2*3/2., "x_waited_there": 40}
	for _, point := range p.points {
		if want[point.Metric] != point.Value || point.Role != "coordinator" {
			t.Errorf("%+v, want %v", point, want[point.Metric])
		}
	}
	if len(p.points) != 3 {
		t.Error(p.points)
	}
}
