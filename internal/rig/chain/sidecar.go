package chain

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"petrelhook/internal/rig/sidecarlog"
)

// startTimeout bounds the time until a sidecar is ready, stopTimeout the time until all of them have ended.
const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// sidecar is a sidecar's process, started as the platform starts it.
type sidecar struct {
	depth int
	addr  string
	cmd   *exec.Cmd
	log   *sidecarlog.Log
	ended chan struct{} // closed once its log and the process have ended
}

// startSidecar starts the sidecar above a level and reads its address from its log. The caller has to end the sidecar if it is not nil,
// also on an error.
func startSidecar(ctx context.Context, program, dir string, l *level) (*sidecar, error) {
	s := &sidecar{depth: l.depth, log: sidecarlog.New(), ended: make(chan struct{})}
	path := filepath.Join(dir, fmt.Sprintf("%d.json", l.depth))
	text, err := configuration(l)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	s.cmd = exec.Command(program, "--log-level", "info")
	// A folder of its own, so that it does not take over from another sidecar of the machine.
	s.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "TMPDIR="+dir, "LB_ADMIN_ADDR=")
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a Ctrl-C reaches this program alone, which ends its sidecars
	log, err := s.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	go func() { // ends with the process, which wait ends
		defer close(s.ended)
		s.log.Read(log, nil)
		_ = s.cmd.Wait()
	}()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case s.addr = <-s.log.Addr():
		return s, nil
	case <-s.ended:
		return s, fmt.Errorf("%s ended at once\n%s", program, s.log)
	case <-ctx.Done():
		return s, fmt.Errorf("%s did not log its address: %w\n%s", program, ctx.Err(), s.log)
	}
}

// configuration is the configuration of the sidecar above a level.
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

// ready waits until the sidecar is healthy.
func (s *sidecar) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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
			return fmt.Errorf("the process ended\n%s", s.log)
		case <-ctx.Done():
			return fmt.Errorf("not ready: %w\n%s", ctx.Err(), s.log)
		case <-time.After(10 * time.Millisecond): // polling: there is no notification
		}
	}
}

// terminate sends SIGTERM. A process that has ended before has crashed, which wait reports.
func (s *sidecar) terminate() {
	select {
	case <-s.ended:
		s.addr = ""
	default:
		s.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// wait waits for the end of the process until a time, and then kills it, which is an error.
func (s *sidecar) wait(until time.Time) error {
	over := time.NewTimer(time.Until(until))
	defer over.Stop()
	select {
	case <-s.ended:
		if code := s.cmd.ProcessState.ExitCode(); code != 0 || s.addr == "" {
			return fmt.Errorf("sidecar %d crashed: %v\n%s", s.depth, s.cmd.ProcessState, s.log)
		}
		return nil
	case <-over.C:
		s.cmd.Process.Kill()
		<-s.ended
		return fmt.Errorf("sidecar %d did not end within %v of SIGTERM", s.depth, stopTimeout)
	}
}
