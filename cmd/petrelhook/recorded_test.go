package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/handover"
)

// recorded has the states that sidecars of some versions handed over, byte for byte; the newest is this version's. A version that hands
// over something else gets a recording of its own: HANDOVER_RECORD=NAME go test ./cmd/petrelhook -run TestRecordedHandOvers
const recorded = "testdata/handover"

// requestHandover has a process of the fleet's sidecar hand over to the test, as to its successor.
func (f *fleet) requestHandover() (state []byte, link *handover.Link) {
	f.t.Helper()
	received, err := handover.NewRendezvous(f.dir, "n0", f.listen).Request(peertest.EventTimeout)
	if err != nil {
		f.t.Fatal(err)
	}
	received.Listener.Close()
	return received.State, received.Link
}

// value is the value at a path in a state; nil: there is none.
func value(state []byte, path ...string) (v any) {
	if json.Unmarshal(state, &v) != nil {
		return nil
	}
	for _, name := range path {
		m, _ := v.(map[string]any)
		v = m[name]
	}
	return v
}

// shape adds the types of all values by their path, those of lists by their first entry.
func shape(v any, path string, all map[string]string) map[string]string {
	all[path] = fmt.Sprintf("%T", v)
	switch v := v.(type) {
	case map[string]any:
		if strings.HasSuffix(path, "IDs") || strings.HasSuffix(path, "Zones") || strings.HasSuffix(path, "Kinds") { // maps whose keys are data
			break
		}
		for name, one := range v {
			shape(one, path+"."+name, all)
		}
	case []any:
		if len(v) > 0 {
			shape(v[0], path+"[]", all)
		}
	}
	return all
}

// Versions side by side: this version continues with the state of each recorded one, with its list and what it had learned, and hands over
// everything that each of them reads.
func TestRecordedHandOvers(t *testing.T) {
	f := newFleet(t, peertest.Settings)
	s := f.start()
	for i := range requestKinds {
		resp, _ := peertest.SendRequest(t, f.listen, strings.Replace(requestKinds[i](fmt.Sprint("x", i)), "\r\n", "\r\nConnection: close\r\n", 1))
		if resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	own, link := f.requestHandover()
	link.Close()
	s.end()
	if name := os.Getenv("HANDOVER_RECORD"); name != "" {
		if err := os.WriteFile(filepath.Join(recorded, name+".json"), own, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob(filepath.Join(recorded, "*.json"))
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		state, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		written := shape(value(own), "", map[string]string{})
		for path, kind := range shape(value(state), "", map[string]string{}) {
			if written[path] != kind {
				t.Errorf("%s reads %s (%s), and this version hands over %q", file, path, kind, written[path])
			}
		}
		f := newFleet(t, peertest.Settings)
		f.config = strings.Replace(f.config, `"discovery":"`+value([]byte(f.config), "discovery").(string), `"discovery":"`+value(state, "core", "Source").(string), 1)
		ln, err := net.Listen("tcp", f.listen)
		if err != nil {
			t.Fatal(err)
		}
		before := &handover.Server{
			Snapshot: func() (*os.File, []byte, error) { file, err := ln.(*net.TCPListener).File(); return file, state, err },
			OnSuccessor: func(l *handover.Link) {
				l.ReadLines(func(line string) {
					if line == "ready" {
						l.Send("heard")
						l.Send("a line of a version to come")
					}
				})
			},
			OnError: func(err error) { t.Error(err) },
		}
		if err := before.Start(handover.NewRendezvous(f.dir, "n0", f.listen)); err != nil {
			t.Fatal(err)
		}
		next := f.start()
		ln.Close()
		before.Close()
		again, link := f.requestHandover()
		for _, path := range [][]string{{"core", "List"}, {"core", "Module", "Classes"}, {"core", "Module", "Quickest"}} {
			if was, is := value(state, path...), value(again, path...); was == nil || !reflect.DeepEqual(was, is) {
				t.Errorf("%s: %v: %v, and then %v", file, path, was, is)
			}
		}
		link.Close()
		if next.Signal(syscall.SIGTERM); next.Wait() != nil || next.Log.Has("nothing is taken over") {
			t.Errorf("%s: %s", file, next.Log)
		}
	}
}
