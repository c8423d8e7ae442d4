package distribute

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestOutbox(t *testing.T) {
	var o Outbox
	if o.Unacknowledged(0) != nil {
		t.Error("reports without any set")
	}
	o.Acknowledge(0, o.Sequence(), true)
	a, b := Report{Sidecar: "a", InForce: 1}, Report{Sidecar: "b"}
	o.Set(b)
	o.Set(a)
	want := func(what string, server int, want ...Report) {
		t.Helper()
		if got := o.Unacknowledged(server); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, want %+v", what, got, want)
		}
	}
	want("to the first", 0, a, b)
	o.Acknowledge(0, o.Sequence(), true)
	want("acknowledged", 0)
	want("not acknowledged by the other", 1, a, b)
	o.Set(a)
	want("set without a change", 0)
	sequence := o.Sequence()
	a.InForce = 2
	o.Set(a) // while the call is in flight
	o.Acknowledge(1, sequence, true)
	want("set since the call began", 1, a, b)
	o.Acknowledge(1, o.Sequence(), true)
	want("acknowledged", 1)
	o.Acknowledge(1, sequence, true) // a late response to an older call
	want("still acknowledged", 1)
	o.Acknowledge(1, o.Sequence(), false)
	want("restarted", 1, a, b)
	want("the other one, set since", 0, a, b)
}

// However calls and changes interleave, a coordinator that has reports of a member and receives a call without reports has the
// member's current ones.
func TestOutboxProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Outbox
		var received [2][]Report // by coordinator
		current := map[string]Report{}
		type call struct {
			server   int
			sequence uint64
			reports  []Report
			has      bool // the coordinator has reports when it handles the call
		}
		var inFlight *call
		t.Repeat(map[string]func(*rapid.T){
			"set": func(*rapid.T) {
				r := Report{Sidecar: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "sidecar"),
					InForce: Revision(rapid.IntRange(0, 3).Draw(t, "in force"))}
				current[r.Sidecar] = r
				o.Set(r)
			},
			"begin": func(*rapid.T) {
				if inFlight != nil {
					return
				}
				inFlight = &call{server: rapid.IntRange(0, 1).Draw(t, "server"), sequence: o.Sequence()}
				if inFlight.reports = o.Unacknowledged(inFlight.server); inFlight.reports != nil {
					if len(inFlight.reports) != len(current) {
						t.Fatalf("sent %+v of %+v", inFlight.reports, current)
					}
					received[inFlight.server] = inFlight.reports
				}
				if inFlight.has = received[inFlight.server] != nil; inFlight.has && inFlight.reports == nil {
					for _, r := range received[inFlight.server] {
						if current[r.Sidecar] != r || len(received[inFlight.server]) != len(current) {
							t.Fatalf("the coordinator has %+v of %+v", received[inFlight.server], current)
						}
					}
				}
			},
			"answered": func(*rapid.T) {
				if inFlight != nil {
					o.Acknowledge(inFlight.server, inFlight.sequence, inFlight.has)
					if reports := o.Unacknowledged(inFlight.server); !inFlight.has && len(current) > 0 && reports == nil {
						t.Fatal("the coordinator has no reports, and is sent none")
					}
					inFlight = nil
				}
			},
			"lost": func(*rapid.T) { inFlight = nil },
			"restart": func(*rapid.T) {
				server := rapid.IntRange(0, 1).Draw(t, "server")
				if received[server] = nil; inFlight != nil && inFlight.server == server {
					inFlight = nil // its response is lost
				}
			},
		})
	})
}

func TestReportTable(t *testing.T) {
	s := NewReportTable()
	newest := version("a", 7, `{}`)
	s.SetReports(0, "a", "m", []Report{{Sidecar: "m1", InForce: 7}, {Sidecar: "m2", InForce: 6, Refused: 7, Reason: "port"}})
	s.SetReports(0, "a", "n", []Report{{Sidecar: "n1", InForce: 7}})
	s.SetReports(0, "b", "m", []Report{{Sidecar: "m1"}})
	s.Touch(time.Second, "a", "m")
	s.Touch(time.Second, "a", "unknown")
	if !s.HasReports("a", "m") || !s.HasReports("b", "m") || s.HasReports("b", "n") || s.HasReports("a", "unknown") {
		t.Error("wrong members have reports")
	}
	got := s.Summary(3*time.Second, "a", newest)
	want := Summary{Service: "a", Newest: 7, Digest: newest.Digest, InForce: 2, Reported: 3, Sidecars: []SidecarReport{
		{Report{"m2", 6, 7, "port"}, "m", 2 * time.Second},
		{Report{"m1", 7, 0, ""}, "m", 2 * time.Second},
		{Report{"n1", 7, 0, ""}, "n", 3 * time.Second},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	// Coordinators restored from a backup: members run, have rejected or hold revisions that the coordinators have lost.
	if got := s.Summary(0, "a", version("a", 5, `{}`)); got.Ahead != 7 || got.InForce != 0 {
		t.Errorf("%+v", got)
	}
	s.SetReports(0, "d", "m", []Report{{Sidecar: "m1", InForce: 3, Refused: 4}})
	if got := s.Summary(0, "d", Version{Service: "d", Revision: 3}); got.Ahead != 4 || got.InForce != 1 {
		t.Errorf("%+v", got)
	}
	s.SetReports(0, "d", "m", nil)
	s.SetKnownRevision("a", "n", 9)
	s.SetKnownRevision("a", "unknown", 11)
	if got := s.Summary(0, "a", newest); got.Ahead != 9 {
		t.Errorf("%+v", got)
	}
	all := s.Summaries(3*time.Second, []Version{newest, {Service: "b"}, {Service: "c", Revision: 3}})
	want.Sidecars, want.Ahead = nil, 9
	if !reflect.DeepEqual(all, []Summary{want, {Service: "b", InForce: 1, Reported: 1}, {Service: "c", Newest: 3}}) {
		t.Errorf("%+v", all)
	}
	// m2 moves to n, and m1 is removed.
	s.SetReports(4*time.Second, "a", "n", []Report{{Sidecar: "m2", InForce: 7}, {Sidecar: "n1", InForce: 7}})
	s.SetReports(5*time.Second, "a", "m", []Report{{Sidecar: "m3", InForce: 7}})
	got = s.Summary(5*time.Second, "a", newest)
	if got.Reported != 3 || got.InForce != 3 || s.sidecars != 4 ||
		got.Sidecars[0].Member != "n" || got.Sidecars[1].Sidecar != "m3" {
		t.Errorf("%+v, %d sidecars", got, s.sidecars)
	}
	// After MemberTimeout without contact, a member's sidecars are removed, but not the one that has moved to another member.
	s.Touch(10*time.Second, "a", "n")
	got = s.Summary(5*time.Second+MemberTimeout, "a", newest)
	if got.Reported != 2 || s.HasReports("a", "m") || s.HasReports("b", "m") || s.sidecars != 2 {
		t.Errorf("%+v", got)
	}
	if all := s.Summaries(10*time.Second+MemberTimeout, []Version{newest}); all[0].Reported != 0 {
		t.Errorf("%+v", all)
	}
	s.SetReports(10*time.Second, "a", "n", []Report{{Sidecar: "n1"}})
	if s.Tick(10*time.Second + MemberTimeout); len(s.services)+len(s.reporters)+s.sidecars+s.order.Len() != 0 {
		t.Errorf("%+v", s)
	}
}

func TestReportTableIsBounded(t *testing.T) {
	s := NewReportTable()
	for i := range MaxReporters {
		s.SetReports(time.Duration(i), "a", fmt.Sprint("m", i), []Report{{Sidecar: fmt.Sprint("s", i)}})
	}
	s.Touch(MaxReporters, "a", "m0")
	s.SetReports(MaxReporters, "b", "one more", []Report{{Sidecar: "s"}})
	if s.HasReports("a", "m1") || !s.HasReports("a", "m0") || !s.HasReports("a", "m2") || !s.HasReports("b", "one more") ||
		s.sidecars != MaxReporters {
		t.Error("the member removed is not the one whose last contact is longest ago")
	}
	var many []Report
	for i := range MaxReports {
		many = append(many, Report{Sidecar: fmt.Sprint("t", i)})
	}
	s.SetReports(MaxReporters, "b", "many", many)
	if s.sidecars != MaxReporters || !s.HasReports("b", "many") || len(s.reporters) != MaxReporters-MaxReports+1 {
		t.Errorf("%d sidecars of %d members", s.sidecars, len(s.reporters))
	}
	// The number of members without sidecars is bounded too.
	for i := range MaxReporters + 1 {
		s.SetReports(MaxReporters, "c", fmt.Sprint("m", i), nil)
	}
	if len(s.reporters) != MaxReporters || s.order.Len() != MaxReporters {
		t.Errorf("%d members", len(s.reporters))
	}
}

func TestMerge(t *testing.T) {
	of := func(sidecar string, r Revision, ago time.Duration) SidecarReport {
		return SidecarReport{Report{Sidecar: sidecar, InForce: r}, "m", ago}
	}
	got := Merge([]Summary{ // of three coordinators, and of one that lags
		{Service: "a", Newest: 5, Digest: "five", Reported: 3, InForce: 1, Ahead: 6,
			Sidecars: []SidecarReport{of("x", 4, 9), of("y", 4, 1), of("z", 5, 3)}},
		{Service: "a", Newest: 6, Digest: "six", Reported: 2, InForce: 2, Sidecars: []SidecarReport{of("x", 6, 2), of("y", 6, 2)}},
		{Service: "a", Newest: 6, Digest: "six", Sidecars: []SidecarReport{of("a", 5, 3)}},
		{Service: "a", Newest: 4, Digest: "four"},
	})
	want := Summary{Service: "a", Newest: 6, Digest: "six", Reported: 4, InForce: 1,
		Sidecars: []SidecarReport{of("a", 5, 3), of("y", 4, 1), of("z", 5, 3), of("x", 6, 2)}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := Merge([]Summary{{Service: "a", Newest: 5, Ahead: 9}, {Service: "a", Newest: 6}}); got.Ahead != 9 {
		t.Errorf("%+v", got)
	}
	if got := Merge(nil); !reflect.DeepEqual(got, Summary{}) {
		t.Errorf("%+v", got)
	}
}
