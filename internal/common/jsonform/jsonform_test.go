package jsonform

import (
	"strings"
	"testing"
)

type example struct {
	Name   string         `json:"name"`
	Counts map[string]int `json:"counts,omitempty"`
	Parts  []*part        `json:"parts"`
	Hidden int            `json:"-"`
}

type part struct {
	Size int `json:"size"`
}

func TestCheck(t *testing.T) {
	for recorded, want := range map[string]string{
		`{"name":"a","counts":{"b":1},"parts":[{"size":1}]}`:         "",
		`{"name":"a","counts":{"b":1},"parts":[{"size":1}],"new":1}`: "is not read",
		`{"name":"a","parts":[{"size":1}]}`:                          "nothing of value.Counts",
		`{"name":"a","counts":{"b":1},"parts":[{"size":0}]}`:         "nothing of value.Parts[0].Size",
		`{"name":"a","counts":{"b":1},"parts":[null]}`:               "nothing of value.Parts[0]",
		`{"counts":{"b":1},"name":"a","parts":[{"size":1}]}`:         "the form has changed",
	} {
		err := Check([]byte(recorded), &example{})
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", recorded, err, want)
		}
	}
}
