package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// script builds the input of the adapter.
type script struct{ bytes.Buffer }

func (s *script) frame(clock float64, records ...[]byte) {
	size := 16
	for _, r := range records {
		size += len(r)
	}
	binary.Write(s, binary.BigEndian, []uint32{uint32(len(records)), uint32(size)})
	binary.Write(s, binary.BigEndian, clock)
	for _, r := range records {
		s.Write(r)
	}
}

// record encodes its fields in big-endian order.
func record(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		binary.Write(&b, binary.BigEndian, f)
	}
	return b.Bytes()
}

const settings = `{"classes": [{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500}],
	"limits": {"max_attempts": 3}}`

func startInstance(instance uint16, seed uint64, profile string) []byte {
	return record(uint16(1070), instance, seed, uint32(len(profile)), []byte(profile))
}

func serverTable(n int) []byte {
	b := record(uint16(1000), uint16(0), uint32(n))
	for i := range n {
		b = append(b, record(0.0, uint8(0), uint32(i+1), uint16(80), float32(1), uint16(i), uint8(0), uint8(0))...)
	}
	return b
}

func cachedList(instance uint16) []byte {
	return record(uint16(1040), instance, uint8(1), uint32(1), uint16(0))
}

func request(instance uint16, id uint64) []byte {
	return record(uint16(1010), instance, id, uint16(0), 0.0, uint16(0), uint64(0), 1500.0, uint16(0))
}

func mustRun(t *testing.T, s *script) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(&s.Buffer, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// sends counts the sends (code 1000) of each instance in replies that contain only sends and timers.
func sends(t *testing.T, replies []byte) map[uint16]int {
	t.Helper()
	n := map[uint16]int{}
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for p := replies[4:size]; len(p) > 0; {
			switch binary.BigEndian.Uint16(p) {
			case 1000:
				n[binary.BigEndian.Uint16(p[2:])]++
				p = p[26:]
			case 1040:
				p = p[20:]
			default:
				t.Fatalf("unexpected action %d", binary.BigEndian.Uint16(p))
			}
		}
		replies = replies[size:]
	}
	return n
}

func TestSameActionsInOneProcessAndInThree(t *testing.T) {
	play := func(instances ...uint16) []byte {
		s := &script{}
		var first [][]byte
		for _, i := range instances {
			first = append(first, startInstance(i, uint64(i)*7, settings), serverTable(5), cachedList(i))
		}
		s.frame(1000, first...)
		for id := range uint64(60) {
			for _, i := range instances {
				s.frame(1001+float64(id), request(i, id))
			}
		}
		return mustRun(t, s)
	}
	joint := play(1, 2, 3)
	for _, i := range []uint16{1, 2, 3} {
		separate := play(i)
		if n, alone := sends(t, joint)[i], sends(t, separate)[i]; n != 60 || alone != 60 {
			t.Fatalf("instance %d sent %d together, %d alone", i, n, alone)
		}
		if !bytes.Equal(actionsOf(joint, i), actionsOf(separate, i)) {
			t.Fatalf("instance %d acts differently in one process with others and alone", i)
		}
	}
}

// actionsOf returns the bytes of one instance's sends and timers in replies.
func actionsOf(replies []byte, instance uint16) []byte {
	var out []byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for p := replies[4:size]; len(p) > 0; {
			n := 20
			if binary.BigEndian.Uint16(p) == 1000 {
				n = 26
			}
			if binary.BigEndian.Uint16(p[2:]) == instance {
				out = append(out, p[:n]...)
			}
			p = p[n:]
		}
		replies = replies[size:]
	}
	return out
}

func TestRestartWithinABatch(t *testing.T) {
	s := &script{}
	s.frame(1000, startInstance(1, 7, settings), serverTable(3), cachedList(1), request(1, 5),
		record(uint16(1060), uint16(1)), startInstance(1, 8, settings), cachedList(1), request(1, 6))
	s.frame(1001, record(uint16(1020), uint16(1), uint64(5))) // a timer of the killed instance, which is ignored
	if n := sends(t, mustRun(t, s)); n[1] != 2 {
		t.Fatalf("%d sends, want one before and one after the restart", n[1])
	}
}

func TestUnusableSettingsAreReported(t *testing.T) {
	s := &script{}
	s.frame(1000, startInstance(1, 7, `{"classes": []}`), serverTable(1), cachedList(1))
	out := mustRun(t, s)
	if len(out) < 8 || binary.BigEndian.Uint16(out[4:]) != 1090 || !strings.Contains(string(out), "classes: missing") {
		t.Fatalf("reply %q", out)
	}
}

func TestWrongInputEndsTheAdapter(t *testing.T) {
	notStarted := &script{}
	notStarted.frame(1000, request(4, 1))
	infiniteClock := &script{}
	infiniteClock.frame(math.Inf(1))
	for name, s := range map[string]*script{"instance not started": notStarted, "clock": infiniteClock} {
		var out bytes.Buffer
		if err := run(&s.Buffer, &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: error %v, %d bytes of reply", name, err, out.Len())
		}
	}
}

// Unreadable frames end the adapter with an error and without a reply. An end of input between frames is no error.
func TestUnreadableFramesEndTheAdapter(t *testing.T) {
	complete := &script{}
	complete.frame(1000, startInstance(1, 7, settings), serverTable(3), cachedList(1))
	cut := append([]byte(nil), complete.Bytes()[:complete.Len()-5]...)
	long := append([]byte(nil), complete.Bytes()...)
	binary.BigEndian.PutUint32(long[4:], 1<<31)
	unknown := &script{}
	unknown.frame(1000, record(uint16(77), uint16(1)))
	countPastFrame := &script{}
	countPastFrame.frame(1000, record(uint16(1000), uint16(0), uint32(math.MaxUint32)))
	for name, in := range map[string][]byte{
		"cut short": cut, "over-long": long, "unknown code": unknown.Bytes(), "count past the frame": countPastFrame.Bytes(),
	} {
		var out bytes.Buffer
		if err := run(bytes.NewReader(in), &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: error %v, %d bytes of reply", name, err, out.Len())
		}
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(nil), &out); err != nil || out.Len() > 0 {
		t.Errorf("no input: error %v, %d bytes of reply", err, out.Len())
	}
}

// Invalid settings are a fault of one instance; the other instances of the process continue.
func TestUnusableSettingsLeaveOtherInstancesAlone(t *testing.T) {
	s := &script{}
	s.frame(1000, startInstance(1, 7, `{"classes": 5}`), startInstance(2, 7, settings), serverTable(2), cachedList(1), cachedList(2), request(1, 5), request(2, 6))
	out := mustRun(t, s)
	if binary.BigEndian.Uint16(out[4:]) != 1090 || binary.BigEndian.Uint16(out[6:]) != 1 {
		t.Fatalf("no fault of instance 1: %x", out)
	}
	textLength := int(binary.BigEndian.Uint16(out[8:]))
	rest := append(binary.BigEndian.AppendUint32(nil, uint32(len(out)-6-textLength)), out[10+textLength:]...)
	if n := sends(t, rest); n[2] != 1 || n[1] != 0 {
		t.Fatalf("sends %v", n)
	}
}
