package eventstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSequence(t *testing.T) {
	const nextServer = "next server"
	for name, c := range map[string]struct {
		after       string   // the client's Last-Event-Id
		events      []string // ids; "" is an event with data alone, ":" a comment, nextServer another server
		err         error    // of the last event
		position    string   // afterwards
		canContinue bool
	}{
		"no events":                           {"", nil, nil, "", true},
		"rising":                              {"", []string{"1", "2", "3"}, nil, "3", true},
		"twice":                               {"", []string{"1", "2", "2"}, ErrNotRising, "2", true},
		"back":                                {"", []string{"1", "3", "2"}, ErrNotRising, "3", true},
		"a number that starts at 0":           {"", []string{"0", "1"}, nil, "1", true},
		"steps that differ":                   {"", []string{"34", "68", "70", "104"}, nil, "104", true},
		"continued":                           {"", []string{"1", "2", nextServer, "3", "4"}, nil, "4", true},
		"begun anew":                          {"", []string{"1", "2", nextServer, "1"}, ErrNotRising, "2", true},
		"continued too early":                 {"", []string{"1", "2", nextServer, "2"}, ErrNotRising, "2", true},
		"a gap":                               {"", []string{"1", "2", nextServer, "4"}, ErrGap, "2", true},
		"a gap after one event":               {"", []string{"1", nextServer, "3"}, ErrGap, "1", true},
		"a gap after a gap of the first":      {"", []string{"1", "4", nextServer, "7"}, nil, "7", true},
		"a step within the usual":             {"", []string{"34", "68", nextServer, "80"}, nil, "80", true},
		"a gap of the second server":          {"", []string{"1", "2", nextServer, "3", nextServer, "5"}, ErrGap, "3", true},
		"no numbers":                          {"", []string{"a", "b"}, nil, "", false},
		"no ids":                              {"", []string{"", ""}, nil, "", false},
		"comments alone":                      {"", []string{":", ":", nextServer, "1"}, nil, "1", true},
		"an event without a number":           {"", []string{"1", ""}, nil, "1", false},
		"a number after one":                  {"", []string{"1", "", "2"}, nil, "2", true},
		"continued by no number":              {"", []string{"1", nextServer, "b"}, ErrUnverified, "1", true},
		"continued by no id":                  {"", []string{"1", nextServer, ""}, ErrUnverified, "1", true},
		"continued by a comment":              {"", []string{"1", nextServer, ":", "2"}, nil, "2", true},
		"continued by a comment, then a gap":  {"", []string{"1", nextServer, ":", "3"}, ErrGap, "1", true},
		"the client's position":               {"7", []string{"8", "9", nextServer, "10"}, nil, "10", true},
		"begun anew for the client":           {"7", []string{"1"}, ErrNotRising, "7", true},
		"the client's position is no number":  {"x", []string{"1"}, nil, "1", true},
		"the client's position, before any":   {"7", []string{nextServer, "8"}, nil, "8", true},
		"the client's position, and no ids":   {"7", []string{""}, nil, "7", false},
		"a number over all bounds":            {"", []string{"1", "18446744073709551616"}, nil, "1", false},
		"a number as it was sent":             {"", []string{"01", "02"}, nil, "02", true},
		"a signed number":                     {"", []string{"1", "-2"}, nil, "1", false},
		"the largest number, then a gap":      {"", []string{"1", "2", nextServer, "18446744073709551615"}, ErrGap, "2", true},
		"a gap of the client's position":      {"7", []string{"8", nextServer, "10"}, ErrGap, "8", true},
		"an accepted event ends the checking": {"", []string{"1", "2", nextServer, "3", "9"}, nil, "9", true},
	} {
		t.Run(name, func(t *testing.T) {
			var s Sequence
			s.StartAfter(c.after)
			var err error
			for _, id := range c.events {
				require.NoError(t, err, "before the last event")
				switch id {
				case nextServer:
					s.Continue()
				case ":":
					err = s.Accept(Event{})
				default:
					err = s.Accept(Event{ID: id, HasData: true})
				}
			}
			require.Equal(t, c.err, err)
			position, _ := s.Position()
			require.Equal(t, c.position, position)
			require.Equal(t, c.canContinue, s.CanContinue())
		})
	}
}
