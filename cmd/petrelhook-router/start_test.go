package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/storage"
)

// waitingMessage is the log message of a start that waits for a condition to pass.
const waitingMessage = "the start waits"

// newStoppedMachine returns a core member whose process the test starts.
func newStoppedMachine(t *testing.T, network string) (*fleet, *machine) {
	t.Helper()
	f := startFleet(t, fleetOptions{coreMembers: 1, network: network, heartbeatInterval: time.Second, stopped: true})
	return f, f.machines[0]
}

// waitAnswering waits until a machine answers on its control address.
func (f *fleet) waitAnswering(m *machine) {
	f.t.Helper()
	peertest.Eventually(f.t, m.ip+" answers", func() bool { return f.status(m).Node != "" })
}

// waitLogged waits until a machine's log has all the texts. It fails the test if the process ends before.
func (m *machine) waitLogged(texts ...string) {
	m.t.Helper()
	peertest.Eventually(m.t, "the log has "+strings.Join(texts, ", "), func() bool {
		require.Empty(m.t, m.process.Ended, "the process has ended")
		log := m.process.Log.String()
		for _, text := range texts {
			if !strings.Contains(log, text) {
				return false
			}
		}
		return true
	})
}

// terminate sends SIGTERM to a machine's process and checks that the process exits successfully.
func (m *machine) terminate() {
	m.t.Helper()
	require.NoError(m.t, m.process.Signal(syscall.SIGTERM))
	require.NoError(m.t, peertest.Wait(m.t, m.process.Ended))
}

// A SIGHUP that comes before the settings were read does not end the process.
func TestAnEarlySighupDoesNotEndTheRouter(t *testing.T) {
	f, m := newStoppedMachine(t, "127.9.1")
	text, err := os.ReadFile(m.settingsPath)
	require.NoError(t, err)
	require.NoError(t, os.Remove(m.settingsPath))
	require.NoError(t, syscall.Mkfifo(m.settingsPath, 0o600))
	m.start()
	settingsPipe, err := os.OpenFile(m.settingsPath, os.O_WRONLY, 0) // returns when the router has opened it for reading
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(m.settingsPath+".new", text, 0o600))
	require.NoError(t, os.Rename(m.settingsPath+".new", m.settingsPath))
	require.NoError(t, m.process.Signal(syscall.SIGHUP))
	_, _ = settingsPipe.Write(text) // fails if the router has ended
	require.NoError(t, settingsPipe.Close())
	m.waitLogged("settings reloaded")
	f.waitAnswering(m)
	m.terminate()
}

// startWithLog starts a machine's process with its standard error at the writing end of a pipe, and returns the result of its end.
func startWithLog(t *testing.T, m *machine, log *os.File) (cmd *exec.Cmd, ended chan error) {
	t.Helper()
	cmd, ended = m.command(), make(chan error, 1)
	cmd.Stderr = log
	require.NoError(t, cmd.Start())
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	return cmd, ended
}

func TestARouterOutlivesTheReaderOfItsLog(t *testing.T) {
	f, m := newStoppedMachine(t, "127.9.2")
	reader, log, err := os.Pipe()
	require.NoError(t, err)
	cmd, ended := startWithLog(t, m, log)
	require.NoError(t, log.Close())
	f.waitAnswering(m)
	require.NoError(t, reader.Close())
	f.reloadAndTerminate(m, cmd.Process)
	require.NoError(t, peertest.Wait(t, ended))
}

// reloadAndTerminate makes a router write a line to its log, and checks that it answers. Then it sends SIGTERM.
func (f *fleet) reloadAndTerminate(m *machine, router *os.Process) {
	f.t.Helper()
	require.NoError(f.t, router.Signal(syscall.SIGHUP))
	const calls = 50 // the reload is over meanwhile
	for range calls {
		require.NotEmpty(f.t, f.status(m).Node, "the router does not answer")
	}
	require.NoError(f.t, router.Signal(syscall.SIGTERM))
}

func TestARouterServesWhileItsLogIsNotRead(t *testing.T) {
	f, m := newStoppedMachine(t, "127.9.3")
	log := process.FullPipe(t)
	cmd, ended := startWithLog(t, m, log)
	require.NoError(t, log.Close())
	f.waitAnswering(m)
	f.reloadAndTerminate(m, cmd.Process)
	require.NoError(t, peertest.Wait(t, ended))
}

// checkWaits starts a machine, waits until its log says what the start waits for, ends that condition, and checks that the machine serves.
func (f *fleet) checkWaits(m *machine, end func() error, logged ...string) {
	f.t.Helper()
	m.start()
	m.waitLogged(append(logged, waitingMessage)...)
	ready, _ := f.call(http.MethodGet, "http://"+f.address(m.ip, readyPort)+"/", "")
	require.NotEqual(f.t, http.StatusOK, ready, "a router that waits is not ready")
	require.NoError(f.t, end())
	f.waitAnswering(m)
	m.terminate()
}

func TestAStartWaitsForAnAddressInUse(t *testing.T) {
	for name, port := range map[string]int{"clients": frontPort, "readiness": readyPort, "control": controlPort, "internal": internalPort} {
		t.Run(name, func(t *testing.T) {
			f, m := newStoppedMachine(t, "127.9.4")
			address := f.address(m.ip, port)
			user, err := net.Listen("tcp", address)
			require.NoError(t, err)
			defer user.Close()
			f.checkWaits(m, user.Close, address, "address already in use")
		})
	}
}

func TestAStartWaitsForAnAddressOfAnOutgoingConnection(t *testing.T) {
	f, m := newStoppedMachine(t, "127.9.5")
	other, err := net.Listen("tcp", "127.9.5.99:0")
	require.NoError(t, err)
	defer other.Close()
	local, err := net.ResolveTCPAddr("tcp", f.address(m.ip, frontPort))
	require.NoError(t, err)
	user, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", other.Addr().String())
	require.NoError(t, err)
	require.NoError(t, user.(*net.TCPConn).SetLinger(0)) // a reset leaves no TIME_WAIT
	f.checkWaits(m, user.Close, local.String())
}

func TestAStartWaitsForTheDiskOfItsPredecessor(t *testing.T) {
	f, m := newStoppedMachine(t, "127.9.6")
	disk, _, err := storage.Open(m.dataDir(), "predecessor", true)
	require.NoError(t, err)
	f.checkWaits(m, disk.Close, m.dataDir())
}

func TestAStartWaitsForItsFolder(t *testing.T) {
	f, m := newStoppedMachine(t, "127.9.7")
	require.NoError(t, os.WriteFile(m.dataDir(), []byte("a file in place of the folder"), 0o600))
	f.checkWaits(m, func() error { return os.Remove(m.dataDir()) }, m.dataDir(), "not a directory")
}

func TestAStartThatWaitsEndsWithSigterm(t *testing.T) {
	_, m := newStoppedMachine(t, "127.9.8")
	require.NoError(t, os.WriteFile(m.dataDir(), []byte("a file in place of the folder"), 0o600))
	m.start()
	m.waitLogged(waitingMessage)
	m.terminate()
}

func TestAStartOnADiskThatHangsIsReportedAndEndsWithSigterm(t *testing.T) {
	_, m := newStoppedMachine(t, "127.9.10")
	require.NoError(t, os.MkdirAll(m.dataDir(), 0o755))
	require.NoError(t, syscall.Mkfifo(filepath.Join(m.dataDir(), "replica.db"), 0o600)) // without a writer, opening it hangs
	m.start()
	m.waitLogged(waitingMessage, m.dataDir(), "a disk may hang")
	m.terminate()
}

// A damaged disk is not waited for: the process ends with one line that names the file, and the file is left as it is.
func TestADamagedDiskIsReportedAndKept(t *testing.T) {
	_, m := newStoppedMachine(t, "127.9.9")
	disk, _, err := storage.Open(m.dataDir(), "predecessor", true)
	require.NoError(t, err)
	require.NoError(t, disk.Close())
	path := filepath.Join(m.dataDir(), "replica.db")
	stored, err := os.ReadFile(path)
	require.NoError(t, err)
	damaged := stored[:2*os.Getpagesize()]
	require.NoError(t, os.WriteFile(path, damaged, 0o600))
	m.start()
	var ended *exec.ExitError
	require.ErrorAs(t, peertest.Wait(t, m.process.Ended), &ended)
	require.Equal(t, exitFailure, ended.ExitCode(), m.process.Log.String())
	lines := strings.Split(strings.TrimSpace(m.process.Log.String()), "\n")
	require.Len(t, lines, 2, "the line of the start, and one error")
	require.Contains(t, lines[1], path)
	kept, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, damaged, kept)
}
