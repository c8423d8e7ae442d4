package distribute

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestCommandsAreChecked(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes)
	full := `{"a":"` + strings.Repeat("x", MaxContent-8) + `"}`
	for _, c := range []struct{ service, content, want string }{
		{"payments", `{}`, ""},
		{long, full, ""},
		{"!~", ` { "a" : {"name": 1, "name": 2}, "b": [{"listen":1}] } `, ""},
		{"", `{}`, "service: 0 bytes; write 1 to 128"},
		{long + "x", `{}`, "service: 129 bytes; write 1 to 128"},
		{"a b", `{}`, "service: \"a b\"; write printable ASCII without spaces"},
		{"a\x7f", `{}`, "write printable ASCII"},
		{"zürich", `{}`, "write printable ASCII"},
		{"s", ``, "content: it is no JSON; write a JSON object"},
		{"s", `{"a":1`, "content: it is no JSON; write a JSON object"},
		{"s", `{} {}`, "content: it is no JSON; write a JSON object"},
		{"s", "{\"a\":\"\xff\"}", "content: it is no UTF-8; write a JSON object"},
		{"s", `[]`, "content: it is no object; write a JSON object"},
		{"s", `null`, "content: it is no object; write a JSON object"},
		{"s", `"{}"`, "content: it is no object; write a JSON object"},
		{"s", full[:len(full)-2] + `x"}`, "content: 65537 bytes; write at most 65536"},
		{"s", `{"a":"` + strings.Repeat("<", MaxContent/6) + `"}`, "write at most 65536"}, // six bytes each
		{"s", `{"a":1,"b":{},"a":2}`, `content: field "a" is there twice; write it once`},
		{"s", `{"a":1,"\u0061":2}`, `content: field "a" is there twice; write it once`},
		{"s", `{"name":"x"}`, `content: field "name" is each machine's own, its agent writes it; leave it out`},
		{"s", `{"a":{},"listen":"x"}`, `content: field "listen" is each machine's own`},
		{"s", `{"Admin_Addr":"x"}`, `content: field "Admin_Addr" is each machine's own`},
	} {
		cmd := Command{Service: c.service, Content: json.RawMessage(c.content)}
		err := cmd.Check()
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%.40q %.40q: %v, want %q", c.service, c.content, err, c.want)
		}
		if string(cmd.Content) != c.content {
			t.Errorf("%.40q was changed", c.content)
		}
	}
}

func TestApply(t *testing.T) {
	r := NewRegister()
	for i, c := range []struct {
		service string
		after   Revision
		above   Revision
		content string
		want    Revision
		refused string
	}{
		{"a", 0, 0, `{"n":1}`, 1, ""},
		{"a", 0, 0, ` {"n": 1}`, 1, ""}, // repeated, formatted differently
		{"b", 0, 0, ` {"n": 1}`, 2, ""},
		{"a", 0, 0, `{"n":2}`, 1, "after: the newest of service a is revision 1, not 0: another was published meanwhile; " +
			"look at it and write after: 1"},
		{"c", 1, 0, `{}`, 0, "after: the newest of service c is revision 0, not 1"},
		{"a", 1, 0, `{"n":2}`, 3, ""},
		{"a", 1, 0, `{"n":2}`, 3, ""}, // repeated
		{"a", 3, 0, `{"n":1}`, 4, ""}, // an earlier content again
		{"a", 1, 0, `{"n":2}`, 4, "after:"},
		{"b", 2, 10, ` {"n": 1}`, 11, ""}, // the same content, above a held revision
		{"b", 2, 10, `{"n":1}`, 11, ""},
		{"b", 2, 11, `{"n":1}`, 11, "after:"},
		{"a", 4, 11, `{"n":3}`, 12, ""},
		{"a", 12, 12 + MaxRevisionSkip + 1, `{"n":4}`, 12,
			"above: 4294967309 is more than 4294967296 over the last revision, 12; write the largest one"},
		{"a", 12, 12 + MaxRevisionSkip, `{"n":4}`, 13 + MaxRevisionSkip, ""},
		{"a", 13 + MaxRevisionSkip, 1<<64 - 1, `{"n":5}`, 13 + MaxRevisionSkip, "above:"},
		{"a", 13 + MaxRevisionSkip, 0, `{"n":`, 13 + MaxRevisionSkip, "content: it is no JSON; write a JSON object"},
	} {
		before := r.Snapshot()
		got := r.Apply(Command{c.service, c.after, c.above, json.RawMessage(c.content), false})
		if got.Revision != c.want || (got.Refused == "") != (c.refused == "") || !strings.Contains(got.Refused, c.refused) {
			t.Errorf("step %d: %+v, want %d %q", i, got, c.want, c.refused)
		}
		if got.Refused != "" && !bytes.Equal(before, r.Snapshot()) {
			t.Errorf("step %d: refused, but %s became %s", i, before, r.Snapshot())
		}
	}
	if v, ok := r.Newest("b"); !ok || !reflect.DeepEqual(v, version("b", 11, `{"n":1}`)) {
		t.Errorf("%+v %v", v, ok)
	}
	if v, ok := r.Newest("c"); ok {
		t.Errorf("%+v", v)
	}
	all := r.Services()
	if len(all) != 2 || all[0].Service != "a" || all[1].Service != "b" || all[0].Content != nil || all[1].Digest == "" {
		t.Errorf("%+v", all)
	}
	if v, _ := r.Newest("a"); v.Content == nil {
		t.Error("Services has removed the content")
	}
	if r.Bytes() != 14 || r.Last() != 13+MaxRevisionSkip {
		t.Errorf("%d bytes, last %d", r.Bytes(), r.Last())
	}
}

func TestRegisterIsBounded(t *testing.T) {
	r := NewRegister()
	for i := range MaxServices {
		if a := r.Apply(Command{Service: fmt.Sprint(i), Content: []byte(`{}`)}); a.Refused != "" {
			t.Fatal(a)
		}
	}
	a := r.Apply(Command{Service: "one more", Content: []byte(`{}`)})
	if a.Refused != "service: there are 10000 services already, which is the most" {
		t.Errorf("%+v", a)
	}
	if a := r.Apply(Command{Service: "7", After: 8, Content: []byte(`{"a":1}`)}); a.Refused != "" {
		t.Errorf("a service that has a version: %+v", a)
	}

	r = NewRegister()
	full := []byte(`{"a":"` + strings.Repeat("x", MaxContent-8) + `"}`)
	for i := range MaxTotalContent / MaxContent {
		if a := r.Apply(Command{Service: fmt.Sprint(i), Content: full}); a.Refused != "" {
			t.Fatal(a)
		}
	}
	a = r.Apply(Command{Service: "one more", Content: []byte(`{}`)})
	if !strings.HasPrefix(a.Refused, "content: all contents would be 25165826 bytes") {
		t.Errorf("%+v", a)
	}
	text := r.Snapshot()
	if len(text) > 32<<20 {
		t.Errorf("a snapshot of %d bytes", len(text))
	}
	if restored, err := RestoreRegister(text); err != nil || restored.Bytes() != MaxTotalContent {
		t.Errorf("%v", err)
	}
	if a := r.Apply(Command{Service: "0", After: 1, Content: []byte(`{}`)}); a.Refused != "" { // below the bound again
		t.Errorf("%+v", a)
	}
	if a := r.Apply(Command{Service: "one more", Content: []byte(`{}`)}); a.Refused != "" {
		t.Errorf("%+v", a)
	}
}

func TestSnapshotsAreChecked(t *testing.T) {
	if r, err := RestoreRegister(nil); err != nil || r.Last() != 0 || NewRegister().Snapshot() != nil {
		t.Errorf("%v", err)
	}
	encode := func(service string, revision Revision, content, digested string) string {
		text, _ := json.Marshal(Version{service, revision, Digest([]byte(digested)), json.RawMessage(content), false})
		return string(text)
	}
	good := encode("a", 3, `{"n":1}`, `{"n":1}`)
	big := `{"a":"` + strings.Repeat("x", MaxContent) + `"}`
	for _, c := range []struct{ text, want string }{
		{`{"last":7,"all":[` + good + `]}`, ""},
		{`{"last":7,"all":[` + good, "versions: unexpected end"},
		{`{"last":2,"all":[` + good + `]}`, `versions: service "a" has revision 3, above the last one, 2`},
		{`{"last":7,"all":[` + good + `,` + encode("a", 4, `{}`, `{}`) + `]}`, `versions: service "a" is there twice`},
		{`{"last":7,"all":[` + good + `,` + encode("b", 3, `{}`, `{}`) + `]}`, `services "a" and "b" have the one revision 3`},
		{`{"last":7,"all":[` + encode("a", 3, `{"n":2}`, `{"n":1}`) + `]}`, `"a": content: ` + ErrDigestMismatch.Error()},
		{`{"last":7,"all":[` + encode("a", 0, `{}`, `{}`) + `]}`, "revision: 0"},
		{`{"last":7,"all":[` + encode("", 1, `{}`, `{}`) + `]}`, "service: 0 bytes"},
		{`{"last":7,"all":[` + encode("a", 1, big, big) + `]}`, "content: 65544 bytes; 1 to 65536 are held"},
		{`{"last":7,"all":[{"service":"a","revision":1,"digest":"` + Digest(nil) + `"}]}`, "content: 0 bytes"},
		{`{"last":7,"all":[` + strings.Repeat("{},", MaxServices) + `{}]}`, "versions: 10001 services; 10000 are the most"},
	} {
		r, err := RestoreRegister([]byte(c.text))
		if c.want == "" {
			if v, ok := r.Newest("a"); err != nil || r.Last() != 7 || r.Bytes() != 7 || !ok || v.Revision != 3 {
				t.Errorf("%v: %+v", err, r)
			}
		} else if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.80s: %v, want %s", c.text, err, c.want)
		}
	}
	var all []string
	full := `{"a":"` + strings.Repeat("x", MaxContent-8) + `"}`
	for i := range MaxTotalContent/MaxContent + 1 {
		all = append(all, encode(fmt.Sprint(i), Revision(i+1), full, full))
	}
	if _, err := RestoreRegister([]byte(`{"last":999,"all":[` + strings.Join(all, ",") + `]}`)); err == nil ||
		!strings.Contains(err.Error(), "versions: contents of 25231360 bytes together; 25165824 are the most") {
		t.Errorf("%v", err)
	}
}

// Equal logs result in equal registers, also across snapshots. Encoding a command does not change the digest of its content. Of
// several commands with the same After, only one is accepted. A repeated command is assigned one revision. Revisions increase
// across all services and are above Above.
func TestRegisterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, other := NewRegister(), NewRegister()
		model := map[string]Version{}
		last := Revision(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
			c := Command{Service: service, Content: rapid.SampledFrom([]json.RawMessage{
				[]byte(`{"n":1}`), []byte(`{"n":2}`), []byte("{\n\"n\" : 1}"), []byte(`{"n":"<&\u2028>"}`)}).Draw(t, "content")}
			newest := model[service].Revision
			c.After = rapid.SampledFrom([]Revision{newest, newest, newest, 0, last}).Draw(t, "after")
			c.Above = rapid.SampledFrom([]Revision{0, 0, 0, last, last + 5}).Draw(t, "above")
			content, _ := Canonical(c.Content)
			same := string(model[service].Content) == string(content) && newest > c.Above
			answer := r.Apply(c)
			switch {
			case same:
				if answer != (Answer{Revision: newest}) {
					t.Fatalf("%+v again: %+v", c, answer)
				}
			case c.After != newest:
				if answer.Refused == "" || answer.Revision != newest || r.Last() != last {
					t.Fatalf("%+v after %d: %+v", c, newest, answer)
				}
			default:
				if answer.Refused != "" || answer.Revision <= last || answer.Revision <= c.Above {
					t.Fatalf("%+v with last %d: %+v", c, last, answer)
				}
				last = answer.Revision
				model[service] = Version{service, last, Digest(content), content, false}
				if again := r.Apply(c); again != answer {
					t.Fatalf("%+v again: %+v, was %+v", c, again, answer)
				}
				concurrent := c
				concurrent.Content = []byte(`{"concurrent":true}`)
				if a := r.Apply(concurrent); a.Refused == "" {
					t.Fatalf("two versions were published after %d: %+v", c.After, a)
				}
			}
			if v, _ := r.Newest(service); !reflect.DeepEqual(v, model[service]) {
				t.Fatalf("%+v, want %+v", v, model[service])
			}
			text, err := json.Marshal(c) // encoding may change the bytes of the content
			if err != nil {
				t.Fatal(err)
			}
			var decoded Command
			if err := json.Unmarshal(text, &decoded); err != nil {
				t.Fatal(err)
			}
			if a := other.Apply(decoded); a.Refused != answer.Refused || a.Revision != answer.Revision {
				t.Fatalf("%+v, other %+v", answer, a)
			}
			if rapid.Bool().Draw(t, "restored") {
				if other, err = RestoreRegister(other.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if !reflect.DeepEqual(r, other) {
				t.Fatalf("%+v, other %+v", r, other)
			}
		}
	})
}

// StepsDone is part of a version: the same content with a different StepsDone is another version.
func TestStepsDone(t *testing.T) {
	r := NewRegister()
	c := Command{Service: "a", Content: json.RawMessage(`{"n":1}`)}
	first := r.Apply(c)
	c.After, c.StepsDone = first.Revision, true
	for range 2 { // the repeated command is assigned one revision
		if second := r.Apply(c); second.Refused != "" || second.Revision != first.Revision+1 {
			t.Errorf("%+v after %+v", second, first)
		}
	}
	restored, err := RestoreRegister(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if v, _ := restored.Newest("a"); !v.StepsDone {
		t.Errorf("%+v", v)
	}
}
