package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/storage"
)

// The seeds of TestStartSoak. By hand: go test ./cmd/petrelhook-router -run TestStartSoak -startsoak.count 500 -parallel 16
var (
	startSoakFirst = flag.Uint64("startsoak.first", 1, "the first seed of TestStartSoak")
	startSoakCount = flag.Uint64("startsoak.count", 24, "the number of seeds of TestStartSoak")
)

// limitsVariable is set in the environment of a router that begins with resource limits: of descriptors and of bytes in a file, with a comma
// between them. -1 is no limit.
const limitsVariable = "PETRELROUTER_TEST_LIMITS"

// The schedule of a seed. All times count from the start of a process.
const (
	startsPerSeed     = 4
	longestCondition  = 400 * time.Millisecond
	longestUntilKill  = 60 * time.Millisecond
	longestStop       = 100 * time.Millisecond
	scarceDescriptors = 24
	noFileBytes       = 0
	noLimit           = -1
	maxConditions     = 3
	maxSignals        = 5
	startsPerEarlyEnd = 4 // one of so many starts is ended early
)

// setLimits sets the resource limits of this process that its environment asks for. They can be raised again.
func setLimits(text string) error {
	descriptors, fileBytes, _ := strings.Cut(text, ",")
	for resource, value := range map[int]string{unix.RLIMIT_NOFILE: descriptors, unix.RLIMIT_FSIZE: fileBytes} {
		limit, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		if limit == noLimit {
			continue
		}
		var current unix.Rlimit
		if err := unix.Getrlimit(resource, &current); err != nil {
			return err
		}
		current.Cur = uint64(limit)
		if err := unix.Setrlimit(resource, &current); err != nil {
			return err
		}
	}
	return nil
}

// forks is held for writing while a seed starts a process, and for reading while another opens or closes what its router waits for: a process
// that is forked meanwhile would keep a closed listener or lock until it executes its program.
var forks sync.RWMutex

// startSoak is one seed: a machine whose process starts several times, each time under other conditions.
type startSoak struct {
	*fleet
	*machine
	t      *testing.T // of the fleet and of the machine
	random *rand.Rand
	trace  []string // what was done, for a seed that fails
	mutex  sync.Mutex
}

// A router starts several times on the same disk. Meanwhile addresses are in use, the disk is locked, missing or full, descriptors are scarce, the log
// is not read, signals come in series, and some processes are killed. A process serves once the conditions have passed, and ends by a signal
// alone.
func TestStartSoak(t *testing.T) {
	for seed := *startSoakFirst; seed < *startSoakFirst+*startSoakCount; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			forks.RLock()
			f, m := newStoppedMachine(t, fmt.Sprintf("127.11.%d", seed%250))
			forks.RUnlock()
			s := &startSoak{fleet: f, machine: m, t: t, random: rand.New(rand.NewPCG(seed, 3))}
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("play it again with -startsoak.first %d -startsoak.count 1:\n%s", seed, strings.Join(s.trace, "\n"))
					t.Logf("locks of the disk, and the descriptors of the last process:\n%s\n%s", s.locks(), s.descriptors())
				}
			})
			for i := range startsPerSeed {
				s.playStart(i)
			}
		})
	}
}

// note records what is done.
func (s *startSoak) note(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trace = append(s.trace, fmt.Sprintf(format, args...))
}

// lockReleaseTimeout bounds the wait for the kernel to release the lock of a process that has ended. Its workers may be kept from running
// for a minute and more on a busy machine.
const lockReleaseTimeout = 3 * time.Minute

// waitDeadLocks waits until no process that has ended has a lock of the disk: the kernel may release a mapped file after the process was
// waited for. The router has to wait for that too.
func (s *startSoak) waitDeadLocks() {
	s.t.Helper()
	for deadline := time.Now().Add(lockReleaseTimeout); s.hasDeadLock(); wait(s.t.Context(), 10*time.Millisecond) {
		require.True(s.t, time.Now().Before(deadline), "a process that has ended still has a lock:\n%s", s.locks())
	}
}

// hasDeadLock reports whether a process that has ended has a lock of the disk.
func (s *startSoak) hasDeadLock() bool {
	for line := range strings.Lines(s.locks()) {
		const ownerField = 4 // after number, kind, mode and access
		owner, err := strconv.Atoi(strings.Fields(line)[ownerField])
		if err == nil && errors.Is(syscall.Kill(owner, 0), syscall.ESRCH) {
			return true
		}
	}
	return false
}

// locks returns the lines of /proc/locks with the file of the disk. Each names the process that took the lock, also one that has ended.
func (s *startSoak) locks() string {
	info, err := os.Stat(filepath.Join(s.dataDir(), "replica.db"))
	if err != nil {
		return "" // there is no such file yet
	}
	inode := fmt.Sprintf(":%d ", info.Sys().(*syscall.Stat_t).Ino)
	text, err := os.ReadFile("/proc/locks")
	require.NoError(s.t, err)
	var found strings.Builder
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, inode) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// descriptors returns what the descriptors of the last process refer to.
func (s *startSoak) descriptors() string {
	folder := fmt.Sprintf("/proc/%d/fd", s.process.Pid)
	entries, _ := os.ReadDir(folder) // a diagnosis alone
	var targets []string
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(folder, entry.Name()))
		targets = append(targets, target)
	}
	return strings.Join(targets, "\n")
}

// within returns a random duration.
func (s *startSoak) within(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

// condition is a condition of the machine that passes: end ends it.
type condition struct {
	name string
	end  func()
}

// startConditions are the conditions under which a process starts.
type startConditions struct {
	passing         []condition
	descriptors     int // limits with which it begins
	fileBytes       int
	logIsUnwritable bool
}

// drawConditions draws the conditions of a start, and begins them.
func (s *startSoak) drawConditions() startConditions {
	forks.RLock()
	defer forks.RUnlock()
	c := startConditions{descriptors: noLimit, fileBytes: noLimit}
	add := func(passing condition) { c.passing = append(c.passing, passing) }
	kinds := []func(){
		func() {
			add(s.raiseLater("no descriptors", unix.RLIMIT_NOFILE, scarceDescriptors))
			c.descriptors = scarceDescriptors
		},
		func() {
			add(s.raiseLater("a full disk", unix.RLIMIT_FSIZE, noFileBytes))
			c.fileBytes, c.logIsUnwritable = noFileBytes, true
		},
		func() { add(s.lockOrHideDisk()) },
	}
	for port := range s.ports {
		kinds = append(kinds, func() { add(s.useAddress(s.address(s.ip, port))) })
	}
	s.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for _, begin := range kinds[:s.random.IntN(maxConditions+1)] {
		begin()
	}
	return c
}

// playStart starts the process under some conditions, and ends them.
func (s *startSoak) playStart(number int) {
	conditions := s.drawConditions()
	cmd := s.command()
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d,%d", limitsVariable, conditions.descriptors, conditions.fileBytes))
	for _, c := range conditions.passing {
		s.note("start %d: %s", number, c.name)
	}
	forks.Lock()
	s.process = process.Start(s.t, cmd)
	forks.Unlock()
	if s.random.IntN(startsPerEarlyEnd) == 0 {
		s.endEarly(conditions.passing)
		return
	}
	if !conditions.logIsUnwritable {
		s.sendSignals()
	}
	s.random.Shuffle(len(conditions.passing), func(i, j int) {
		conditions.passing[i], conditions.passing[j] = conditions.passing[j], conditions.passing[i]
	})
	for _, c := range conditions.passing {
		wait(s.t.Context(), s.within(longestCondition))
		s.note("ends: %s", c.name)
		s.end(c)
	}
	s.waitDeadLocks()
	s.checkServes()
	s.endServing()
}

// endEarly ends the process at a random moment of its start, and then the conditions.
func (s *startSoak) endEarly(conditions []condition) {
	signal := syscall.SIGKILL
	if s.random.IntN(2) == 0 {
		signal = syscall.SIGTERM
	}
	wait(s.t.Context(), s.within(longestUntilKill))
	s.note("%v during the start", signal)
	require.NoError(s.t, s.process.Signal(signal))
	_ = peertest.Wait(s.t, s.process.Ended) // by the signal, or with exit code 0
	for _, c := range conditions {
		s.end(c)
	}
}

// end ends a condition.
func (s *startSoak) end(c condition) {
	forks.RLock()
	defer forks.RUnlock()
	c.end()
}

// sendSignals sends signals that must not end the process, once it has logged its start.
func (s *startSoak) sendSignals() {
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGPIPE, syscall.SIGSTOP}
	s.waitLogged("router starts")
	for range s.random.IntN(maxSignals + 1) {
		signal := signals[s.random.IntN(len(signals))]
		s.note("%v", signal)
		require.NoError(s.t, s.process.Signal(signal))
		if signal == syscall.SIGSTOP {
			wait(s.t.Context(), s.within(longestStop))
			require.NoError(s.t, s.process.Signal(syscall.SIGCONT))
		}
	}
}

// checkServes checks that the process answers on all its addresses.
func (s *startSoak) checkServes() {
	s.t.Helper()
	for port := range s.ports {
		peertest.Eventually(s.t, fmt.Sprint("port ", port, " accepts connections"), func() bool {
			require.Empty(s.t, s.process.Ended, "the process has ended")
			conn, err := net.Dial("tcp", s.address(s.ip, port))
			return err == nil && conn.Close() == nil
		})
	}
	s.waitAnswering(s.machine)
	require.Empty(s.t, s.process.Ended, "the process has ended")
}

// endServing ends a process that serves.
func (s *startSoak) endServing() {
	if s.random.IntN(2) == 0 {
		s.note("SIGKILL")
		s.process.KillAndWait()
		return
	}
	s.note("SIGTERM, then SIGHUP")
	require.NoError(s.t, s.process.Signal(syscall.SIGTERM))
	require.NoError(s.t, s.process.Signal(syscall.SIGHUP))
	require.NoError(s.t, peertest.Wait(s.t, s.process.Ended))
}

// useAddress uses an address for an outgoing connection or for a listener.
func (s *startSoak) useAddress(address string) condition {
	if s.random.IntN(2) == 0 {
		if user, ok := s.dialFrom(address); ok {
			return condition{name: "a connection uses " + address, end: func() { require.NoError(s.t, user.Close()) }}
		}
	}
	user, err := net.Listen("tcp", address)
	require.NoError(s.t, err)
	return condition{name: "a listener uses " + address, end: func() { require.NoError(s.t, user.Close()) }}
}

// dialFrom opens a connection from an address. ok is false where a connection of an earlier start is in TIME_WAIT.
func (s *startSoak) dialFrom(address string) (user net.Conn, ok bool) {
	peer, err := net.Listen("tcp", net.JoinHostPort(strings.TrimSuffix(s.ip, ".1")+".99", "0"))
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = peer.Close() }) // it only keeps the connection open
	local, err := net.ResolveTCPAddr("tcp", address)
	require.NoError(s.t, err)
	user, err = (&net.Dialer{LocalAddr: local}).Dial("tcp", peer.Addr().String())
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, false
	}
	require.NoError(s.t, err)
	require.NoError(s.t, user.(*net.TCPConn).SetLinger(0)) // its reset leaves no TIME_WAIT
	return user, true
}

// raiseLater returns the condition of a limit, which the process sets as it begins.
func (s *startSoak) raiseLater(name string, resource int, limit uint64) condition {
	var own unix.Rlimit
	require.NoError(s.t, unix.Getrlimit(resource, &own))
	return condition{name: name, end: func() {
		var current unix.Rlimit
		peertest.Eventually(s.t, "the process has the limit", func() bool {
			err := unix.Prlimit(s.process.Pid, resource, nil, &current)
			return err != nil || current.Cur == limit
		})
		err := unix.Prlimit(s.process.Pid, resource, &own, nil)
		if err != nil {
			require.ErrorIs(s.t, err, unix.ESRCH) // it was killed
		}
	}}
}

// lockOrHideDisk opens the disk as a predecessor does, or replaces its folder by a file.
func (s *startSoak) lockOrHideDisk() condition {
	if s.random.IntN(2) == 0 {
		return s.hideFolder()
	}
	s.waitDeadLocks()
	disk, _, err := storage.Open(s.dataDir(), s.ip, true)
	require.NoError(s.t, err)
	return condition{name: "the disk is locked", end: func() { require.NoError(s.t, disk.Close()) }}
}

// hideFolder replaces the folder by a file.
func (s *startSoak) hideFolder() condition {
	hidden := filepath.Join(filepath.Dir(s.dataDir()), "hidden")
	require.NoError(s.t, os.MkdirAll(s.dataDir(), 0o755))
	require.NoError(s.t, os.Rename(s.dataDir(), hidden))
	require.NoError(s.t, os.WriteFile(s.dataDir(), nil, 0o600))
	return condition{name: "a file in place of the folder", end: func() {
		// In one step: a router that found no folder would create one.
		require.NoError(s.t, unix.Renameat2(unix.AT_FDCWD, hidden, unix.AT_FDCWD, s.dataDir(), unix.RENAME_EXCHANGE))
		require.NoError(s.t, os.Remove(hidden))
	}}
}
