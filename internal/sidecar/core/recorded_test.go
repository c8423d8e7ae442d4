package core

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/member"
)

// A snapshot is passed to a process that may be of another version. The snapshot recorded at revision cfdfdec is read correctly,
// and the same state is written byte for byte as it was then.
func TestRecordedSnapshot(t *testing.T) {
	want := Snapshot{
		Source: "127.0.0.1:7000",
		List: member.List{Generation: 42, Complete: true, Instances: []member.Instance{{
			ID: "s-1", Addr: "127.0.0.1:8001", Zone: "a", Kind: "m2", Cell: 3, State: member.Draining, Weight: 1.5,
			Started: time.Unix(1796171109, 0).UTC(),
		}}},
		IDs:    map[string]time.Time{"x0": time.Unix(1796171110, 0).UTC()},
		Module: balance.Snapshot{Classes: []balance.ClassSnapshot{{Count: 3}}, Zones: map[int]float64{1: 0.5}, Kinds: map[int]float64{0: 0.25}},
		Names:  &Names{Classes: []string{"look"}, Zones: []string{"a", "b"}, Kinds: []string{"m2"}, Rules: []string{"0/0/500"}},
	}
	recorded, err := os.ReadFile("testdata/cfdfdec/handover.json")
	if err != nil {
		t.Fatal(err)
	}
	var got Snapshot
	if err := json.Unmarshal(recorded, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v; want %+v", got, err, want)
	}
	written, err := json.Marshal(want)
	if err != nil || string(written) != string(recorded) {
		t.Errorf("written as\n%s, %v; want\n%s", written, err, recorded)
	}
}
