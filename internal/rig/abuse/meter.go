package abuse

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// sampleInterval is the time between two samples of a Meter.
const sampleInterval = 10 * time.Millisecond

// Peak is the most that a process has used.
type Peak struct {
	// ResidentMb is the largest resident memory: the kernel's own record, which misses no peak.
	ResidentMb int
	// QueuedMb is the most that the kernel held for the process's sockets, unread or unsent, in any sample.
	QueuedMb int
	// Descriptors is the largest number of open descriptors in any sample, and Sockets that of those that are sockets.
	Descriptors, Sockets int
}

// String formats the figures for a test's log.
func (p Peak) String() string {
	return fmt.Sprintf("resident %d MB, queued by the kernel %d MB, %d descriptors, %d of them sockets", p.ResidentMb, p.QueuedMb, p.Descriptors,
		p.Sockets)
}

// Meter records the peak of a process until the test ends. What the kernel holds and the descriptors are polled: a crowd that holds what it
// has brought about is in many samples.
type Meter struct {
	t         testing.TB
	pid       int
	addresses []string // at which the process listens
	stop      chan struct{}
	stopped   sync.WaitGroup

	mutex sync.Mutex
	peak  Peak
}

// Watch starts to record the peak of a process that listens at the addresses. Connections that it has not accepted yet, or
// has closed with bytes that are still being sent, count too.
func Watch(t testing.TB, pid int, addresses ...string) *Meter {
	t.Helper()
	m := &Meter{t: t, pid: pid, addresses: addresses, stop: make(chan struct{})}
	m.stopped.Go(m.run)
	t.Cleanup(func() {
		close(m.stop)
		m.stopped.Wait()
	})
	return m
}

// Peak returns the peak so far. A process that has ended has no resident memory any more.
func (m *Meter) Peak() Peak {
	m.sample()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peak
}

// Descriptors returns the number of descriptors that are open now.
func (m *Meter) Descriptors() int { return len(descriptorsOf(m.pid)) }

// run samples until the meter is stopped.
func (m *Meter) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.sample()
		}
	}
}

// sample takes one sample.
func (m *Meter) sample() {
	open := descriptorsOf(m.pid)
	own := map[string]bool{}
	openSockets := 0
	for _, name := range open {
		own[name] = true
		if strings.HasPrefix(name, "socket:") {
			openSockets++
		}
	}
	listens := map[string]bool{}
	for _, address := range m.addresses {
		listens[address] = true
	}
	queued := 0
	for _, s := range sockets(m.t) {
		if own["socket:["+s.inode+"]"] || listens[s.local] {
			queued += s.unread + s.unsent
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.peak.ResidentMb = max(m.peak.ResidentMb, residentPeakMb(m.pid))
	m.peak.QueuedMb = max(m.peak.QueuedMb, queued>>20)
	m.peak.Descriptors = max(m.peak.Descriptors, len(open))
	m.peak.Sockets = max(m.peak.Sockets, openSockets)
}

// descriptorsOf returns what the open descriptors of a process are; none if it has ended.
func descriptorsOf(pid int) (names []string) {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder) // the process may have ended
	for _, e := range entries {
		if name, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil {
			names = append(names, name)
		}
	}
	return names
}

// residentPeakMb returns the largest resident memory that a process has had; 0 if it has ended.
func residentPeakMb(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // the process may have ended
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	if !found {
		return 0
	}
	kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0]) // the kernel writes a number
	return kilobytes >> 10
}

// socket is a TCP socket of this machine.
type socket struct {
	local          string // address
	unsent, unread int    // bytes in the kernel's queues
	inode          string
}

// sockets returns the TCP sockets of this machine, as /proc/net/tcp has them.
func sockets(t testing.TB) (all []socket) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Error(err)
	}
	const stateListen = "0A"
	for i, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line) // number, local and remote address, state, queues, three more, time-out, inode
		if i == 0 || len(fields) < 10 {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		s := socket{local: readableAddress(fields[1]), inode: fields[9]}
		if fields[3] != stateListen { // the queues of a listener count connections
			s.unsent, s.unread = fromHex(unsent), fromHex(unread)
		}
		all = append(all, s)
	}
	return all
}

// readableAddress returns an address of /proc/net/tcp in the usual form.
func readableAddress(text string) string {
	ip, port, _ := strings.Cut(text, ":")
	raw, err := hex.DecodeString(ip)
	if err != nil || len(raw) != 4 {
		return ""
	}
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], binary.LittleEndian.Uint32(raw))
	return netip.AddrPortFrom(netip.AddrFrom4(bytes), uint16(fromHex(port))).String()
}

// fromHex returns a number of /proc/net/tcp.
func fromHex(text string) int {
	n, _ := strconv.ParseUint(text, 16, 32) // the kernel writes a number
	return int(n)
}
