package chain

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startWithin is how long a sidecar may take until it is ready, stopWithin how long all of them may take to end.
const (
	startWithin = 10 * time.Second
	stopWithin  = 10 * time.Second
)

// sidecar is a process of its own, started as the platform starts it.
type sidecar struct {
	depth int
	addr  string
	cmd   *exec.Cmd
	ended chan struct{}

	mu   sync.Mutex
	last []string // the last lines of its log
}

// startSidecar starts the sidecar above a level and reads from its log where it listens. What it returns has to be
// ended, also beside an error.
func startSidecar(ctx context.Context, program, dir string, l *level) (*sidecar, error) {
	s := &sidecar{depth: l.depth, ended: make(chan struct{})}
	path := filepath.Join(dir, fmt.Sprintf("%d.json", l.depth))
	text, err := configuration(l)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	s.cmd = exec.Command(program, "--log-level", "info")
	// A folder of its own: no other sidecar of the machine is one to take over from.
	s.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "TMPDIR="+dir, "LB_ADMIN_ADDR=")
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a Ctrl-C is for this program, which ends its sidecars
	log, err := s.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	listens := make(chan string, 1)
	go func() { // it ends with the process, which wait ends
		defer close(s.ended)
		s.follow(log, listens)
		_ = s.cmd.Wait()
	}()
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	select {
	case s.addr = <-listens:
		return s, nil
	case <-s.ended:
		return s, fmt.Errorf("%s ended at once\n%s", program, s.log())
	case <-ctx.Done():
		return s, fmt.Errorf("%s does not say where it listens: %w\n%s", program, ctx.Err(), s.log())
	}
}

// configuration is what the sidecar above a level is told.
func configuration(l *level) ([]byte, error) {
	s, err := l.cfg.scenario()
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("chain-%d", l.depth), "listen": "127.0.0.1:0", "discovery": l.discovery.addr,
		"seed":   fmt.Sprintf("%x", l.cfg.Seed+uint64(l.depth)),
		"limits": map[string]any{"cores": 1}, "known": json.RawMessage(l.discovery.list), "settings": s.Settings(0),
	})
}

// follow reads the log to its end.
func (s *sidecar) follow(log io.Reader, listens chan<- string) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		if _, rest, ok := strings.Cut(line, "listen="); ok && strings.Contains(line, "msg=serving") {
			addr, _, _ := strings.Cut(rest, " ")
			select {
			case listens <- addr:
			default:
			}
		}
		s.mu.Lock()
		if s.last = append(s.last, line); len(s.last) > 10 {
			s.last = s.last[1:]
		}
		s.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, log) // a line too long must not stop the process
}

func (s *sidecar) log() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.last, "\n")
}

// ready waits until it answers that it may be sent to.
func (s *sidecar) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/_health", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			if resp.Body.Close(); resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-s.ended:
			return errors.New("it ended\n" + s.log())
		case <-ctx.Done():
			return fmt.Errorf("it is not ready: %w\n%s", ctx.Err(), s.log())
		case <-time.After(10 * time.Millisecond): // nothing announces it
		}
	}
}

// terminate tells it to end. One that has ended by itself has crashed, which wait says.
func (s *sidecar) terminate() {
	select {
	case <-s.ended:
		s.addr = ""
	default:
		s.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// wait waits for its end until a time, and kills it then.
func (s *sidecar) wait(until time.Time) error {
	over := time.NewTimer(time.Until(until))
	defer over.Stop()
	select {
	case <-s.ended:
		if code := s.cmd.ProcessState.ExitCode(); code != 0 || s.addr == "" {
			return fmt.Errorf("sidecar %d crashed: %v\n%s", s.depth, s.cmd.ProcessState, s.log())
		}
		return nil
	case <-over.C:
		s.cmd.Process.Kill()
		<-s.ended
		return fmt.Errorf("sidecar %d did not end within %v of SIGTERM", s.depth, stopWithin)
	}
}
