package relay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"petrelhook/internal/sidecar/member"
)

// Updates are exchanged between processes of different versions. The updates recorded at revision cfdfdec are read correctly, and
// the same updates are written byte for byte as they were then.
func TestRecordedUpdates(t *testing.T) {
	list := &member.List{Generation: 42, Complete: true, Instances: []member.Instance{
		{
			ID: "s-1", Addr: "127.0.0.1:8001", Zone: "a", Kind: "m2", Cell: 3, State: member.Draining, Weight: 1.5,
			Started: time.Unix(1796171109, 0).UTC(),
		},
		{ID: "s-2", State: member.Removed},
	}}
	for file, want := range map[string]Update{
		"list.json":      {Source: "127.0.0.1:7000", List: list},
		"heartbeat.json": {Source: "127.0.0.1:7000"},
	} {
		recorded, err := os.ReadFile(filepath.Join("testdata", "cfdfdec", file))
		if err != nil {
			t.Fatal(err)
		}
		var got Update
		if err := json.Unmarshal(recorded, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, %v; want %+v", file, got, err, want)
		}
		written, err := json.Marshal(want)
		if err != nil || string(written) != string(recorded) {
			t.Errorf("%s: written as\n%s, %v; want\n%s", file, written, err, recorded)
		}
	}
}
