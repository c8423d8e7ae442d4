package usage

import (
	"net"
	"os"
	"testing"
)

// What this process takes is seen, and grows with what it does.
func TestOf(t *testing.T) {
	before, err := Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	room := make([]byte, 64<<20)
	for i := range room {
		room[i] = byte(i)
	}
	after, err := Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if after.CPU <= before.CPU || after.Time <= before.Time || after.Memory < before.Memory+32<<20 || after.MaxMemory < after.Memory ||
		after.Connections != before.Connections+1 || after.Descriptors <= before.Descriptors {
		t.Errorf("%+v, was %+v", after, before)
	}
	resident, err := Resident(os.Getpid())
	all, err2 := MachineMemory()
	if err != nil || err2 != nil || resident < int64(len(room)) || all <= resident {
		t.Errorf("%d of %d: %v, %v", resident, all, err, err2)
	}
	if _, err := Of(1 << 30); err == nil {
		t.Error("what no process takes is seen")
	}
	if _, err := readKilobytes([]byte("VmRSS:\t none\n"), "VmRSS:"); err == nil {
		t.Error("a line without a number is read")
	}
}
