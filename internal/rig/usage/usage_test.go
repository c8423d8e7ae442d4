package usage

import (
	"net"
	"os"
	"testing"
)

// The usage of this process is measured, and grows with what it uses.
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
	memory := make([]byte, 64<<20)
	for i := range memory {
		memory[i] = byte(i)
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
	total, err2 := MachineMemory()
	if err != nil || err2 != nil || resident < int64(len(memory)) || total <= resident {
		t.Errorf("%d of %d: %v, %v", resident, total, err, err2)
	}
	if _, err := Of(1 << 30); err == nil {
		t.Error("the usage of a process that does not exist is measured")
	}
	if _, err := readKilobytes([]byte("VmRSS:\t none\n"), "VmRSS:"); err == nil {
		t.Error("a line without a number is read")
	}
}
