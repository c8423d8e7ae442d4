package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/lease"
)

// The exit codes of lease run. If none of them applies, it exits with the command's own code.
const (
	exitNoLease   = 69 // the lease was not acquired
	exitLeaseLost = 75 // the lease was lost, and the command ended on SIGTERM
	exitKilled    = 76 // the lease was lost, and the command had to be killed
)

// exitCodeError makes petrelhookctl exit with this code. No message is printed for it.
type exitCodeError int

func (e exitCodeError) Error() string { return fmt.Sprint("exit ", int(e)) }

func (a *coordinatorFlags) runLeaseCommand() *cobra.Command {
	var ttl, grace time.Duration
	var owner string
	var try bool
	cmd := &cobra.Command{
		Use: "run NAME -- COMMAND [ARG...]", Short: "Hold a lease while a command runs", Args: cobra.MinimumNArgs(2),
		Long: "Waits for the lease, runs the command with LEASE_NAME and LEASE_TOKEN in its environment, and releases the lease when it ends.\n" +
			"If the lease is about to be lost, the command and its children get TERM, and KILL before another client can hold the lease.\n" +
			"Exit codes: the command's own; 69: no lease; 75: lease lost, and the command ended on TERM; 76: lease lost, and command killed.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if grace <= 0 || grace > ttl/2 {
				return fmt.Errorf("--grace: %v: write a time up to half of --ttl", grace)
			}
			if owner == "" {
				host, _ := os.Hostname()
				owner = fmt.Sprintf("%s/%d", host, os.Getpid())
			}
			c, err := lease.New(lease.Options{Addrs: a.addrs, Owner: owner, TTL: ttl})
			if err != nil {
				return err
			}
			defer func() { _ = c.Close() }() // a session that cannot be closed expires
			hold := c.Hold
			if try {
				hold = c.Try
			}
			held, err := hold(cmd.Context(), args[0])
			if err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), "petrelhookctl:", err)
				return exitCodeError(exitNoLease)
			}
			return runWithLease(cmd, held, args[1:], grace)
		},
	}
	cmd.Flags().DurationVar(&ttl, "ttl", 10*time.Second, "duration of the lease after its last renewal")
	cmd.Flags().DurationVar(&grace, "grace", 2*time.Second, "time before the end of the lease at which the command gets TERM")
	cmd.Flags().StringVar(&owner, "owner", "", "name of the holder that operators see (default: host name and process id)")
	cmd.Flags().BoolVar(&try, "try", false, "do not wait if another client holds the lease")
	return cmd
}

// killGraceDivisor determines when the command is killed: when grace / killGraceDivisor is left of its lease.
const killGraceDivisor = 5

// maxLeasePollInterval bounds the interval at which supervise checks how much time is left of the lease.
const maxLeasePollInterval = 50 * time.Millisecond

// runWithLease runs a command while held is valid, and releases the lease when the command ends.
func runWithLease(cmd *cobra.Command, held *lease.Held, args []string, grace time.Duration) error {
	child := exec.Command(args[0], args[1:]...)
	child.Stdin, child.Stdout, child.Stderr = cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	child.Env = append(os.Environ(), "LEASE_NAME="+held.Name, fmt.Sprint("LEASE_TOKEN=", held.Token))
	child.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // the child ends even if petrelhookctl is killed
	runtime.LockOSThread()                                                              // the end of the thread that starts the child triggers Pdeathsig
	defer runtime.UnlockOSThread()
	if err := child.Start(); err != nil {
		return runError{errors.Join(err, held.Release(context.Background()))}
	}
	c := &leasedCommand{child: child, held: held, grace: grace}
	err := c.supervise(cmd.Context().Done())
	c.signal(syscall.SIGKILL) // processes of the group that the command has left behind
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = held.Release(ctx) // a lease that cannot be released expires after its TTL
	if c.lossCode != 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "petrelhookctl: %s: the lease is lost\n", held.Name)
		return exitCodeError(c.lossCode)
	}
	return childExit(err)
}

// leasedCommand is a command that runs while a lease is held. It is used by one goroutine.
type leasedCommand struct {
	child      *exec.Cmd
	held       *lease.Held
	grace      time.Duration // how long before the end of the lease the command gets SIGTERM
	terminated bool          // the command got SIGTERM because its lease is about to end
	lossCode   int           // the exit code for the lost lease; 0: the lease is not lost
}

// supervise waits until the command ends, and returns the result of exec.Cmd.Wait. It sends SIGTERM to the command's process group when the
// lease is about to be lost or interrupted is closed, and kills the group before the lease can be granted to another client.
func (c *leasedCommand) supervise(interrupted <-chan struct{}) error {
	ended := make(chan error, 1)
	go func() { ended <- c.child.Wait() }()
	poll := time.NewTicker(min(c.grace/10, maxLeasePollInterval))
	defer poll.Stop()
	lost := c.held.Context().Done() // closed when the lease is broken or lost
	for {
		select {
		case err := <-ended:
			return err
		case <-interrupted:
			interrupted = nil
			c.signal(syscall.SIGTERM)
		case <-lost:
			lost = nil
			if c.held.Left() > c.grace/killGraceDivisor {
				c.terminate()
			}
		case <-poll.C:
			c.checkTimeLeft()
		}
	}
}

// checkTimeLeft sends the command SIGTERM or SIGKILL, depending on how much time is left of its lease.
func (c *leasedCommand) checkTimeLeft() {
	switch left := c.held.Left(); {
	case left <= c.grace/killGraceDivisor:
		c.signal(syscall.SIGKILL)
		c.lossCode = exitKilled
	case left <= c.grace:
		c.terminate()
	}
}

// terminate sends the command SIGTERM because its lease is about to end. Later calls do nothing.
func (c *leasedCommand) terminate() {
	if c.terminated {
		return
	}
	c.signal(syscall.SIGTERM)
	c.terminated, c.lossCode = true, exitLeaseLost
}

// signal sends a signal to the command's process group.
func (c *leasedCommand) signal(s syscall.Signal) { syscall.Kill(-c.child.Process.Pid, s) }

// signalExitBase is added to the number of the signal that ended a command to form the exit code, as shells do.
const signalExitBase = 128

// childExit returns the error of lease run for the result of exec.Cmd.Wait: nil, an exitCodeError with the command's exit code, or a
// runError if waiting failed.
func childExit(err error) error {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &exit):
		return runError{err}
	case exit.ExitCode() >= 0:
		return exitCodeError(exit.ExitCode())
	}
	return exitCodeError(signalExitBase + int(exit.Sys().(syscall.WaitStatus).Signal()))
}
