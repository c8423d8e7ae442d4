package scale

import (
	"context"
	"strings"
	"testing"

	"petrelhook/internal/coordination/distribute"
)

// A member checks the versions that its client hands it: none may be the same again, older, or of another service.
func TestAdopt(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	good := func(r distribute.Revision) distribute.Version {
		return distribute.Version{Service: "s0001", Revision: r, Content: content("s0001", int(r))}
	}
	foreign, wrong := good(6), good(6)
	foreign.Service = "s0002"
	wrong.Content = content("s0002", 6)
	for want, last := range map[string]distribute.Version{
		"":                                good(6),
		"took revision 5 after 5":         good(5),
		"took revision 4 after 5":         good(4),
		"took revision 6, which i":        foreign,
		"is of s0001: {\"for\":\"s0002\"": wrong,
	} {
		w := &subscribers{changed: make(chan struct{})}
		m := &subscriber{member: member{Name: "n"}, service: "s0001", number: 3}
		w.all = []*subscriber{m}
		before := w.changed
		for _, v := range []distribute.Version{good(2), good(5), last} {
			w.adopt(m, &v)
		}
		select {
		case <-before:
		default:
			t.Error("waiters were not notified")
		}
		_, err := w.sample()
		if want == "" {
			adoptions, err2 := w.adoptedSince(5)
			if err != nil || err2 != nil || len(adoptions) != 2 || adoptions[0].Revision != 5 || adoptions[1].Revision != 6 || adoptions[1].Member != 3 || adoptions[1].Time < adoptions[0].Time {
				t.Errorf("%v, %v: %+v", err, err2, adoptions)
			}
			if _, err := w.await(t.Context(), &condition{Revisions: map[string]distribute.Revision{"s0001": 6, "s0002": 9}}); err != nil {
				t.Error(err)
			}
			for name, missing := range map[string]condition{
				"a version":  {Revisions: map[string]distribute.Revision{"s0001": 7}},
				"a response": {Calls: 1},
			} {
				if _, err := w.await(ended, &missing); err == nil || !strings.HasPrefix(err.Error(), "0 of 1") {
					t.Errorf("%v: %s is missing", err, name)
				}
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
		if _, err := w.await(ended, &condition{Revisions: map[string]distribute.Revision{"s0001": 9}}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: a waiter does not get %s", err, want)
		}
	}
}
