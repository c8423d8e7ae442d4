package sidecarlog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestReadFindsTheAddressAndKeepsTheLastLines(t *testing.T) {
	var lines []string
	for i := range 12 {
		lines = append(lines, fmt.Sprintf("time=%d msg=line", i))
	}
	lines[1] = "level=INFO msg=reading listen=127.0.0.1:1"
	lines[2] = "level=INFO msg=serving listen=127.0.0.1:2 pid=7"
	l := New()
	var seen []string
	l.Read(strings.NewReader(strings.Join(lines, "\n")+"\n"), func(line string) { seen = append(seen, line) })
	if !slices.Equal(seen, lines) {
		t.Errorf("lines %q, want %q", seen, lines)
	}
	if want := strings.Join(lines[2:], "\n"); l.String() != want {
		t.Errorf("last lines\n%s\nwant\n%s", l, want)
	}
	select {
	case addr := <-l.Addr():
		if addr != "127.0.0.1:2" {
			t.Errorf("address %s", addr)
		}
	default:
		t.Error("no address")
	}
}

func TestReadDiscardsWhatFollowsALineThatIsTooLong(t *testing.T) {
	l := New()
	in := strings.NewReader("msg=first\n" + strings.Repeat("x", 1<<20) + "\nmsg=last\n")
	l.Read(in, nil)
	if in.Len() != 0 || l.String() != "msg=first" {
		t.Errorf("%d bytes unread, last lines %q", in.Len(), l)
	}
	if len(l.Addr()) != 0 {
		t.Error("an address without a line that has one")
	}
}
