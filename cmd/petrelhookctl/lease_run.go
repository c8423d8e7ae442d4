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

// The exit codes of lease run besides the command's own.
const (
	exitNoLease   = 69 // the lease was not acquired
	exitLeaseLost = 75 // the lease was lost, and the command ended on SIGTERM
	exitKilled    = 76 // the lease was lost, and the command had to be killed
)

// exitCodeError is the exit code that a subcommand ends with.
type exitCodeError int

func (e exitCodeError) Error() string { return fmt.Sprint("exit ", int(e)) }

func (a *coordinatorFlags) runCommand() *cobra.Command {
	var ttl, grace time.Duration
	var owner string
	var try bool
	cmd := &cobra.Command{
		Use: "run NAME -- COMMAND [ARG...]", Short: "Hold a lease while a command runs", Args: cobra.MinimumNArgs(2),
		Long: "Waits for the lease, runs the command with LEASE_NAME and LEASE_TOKEN in its environment, and releases the lease when it ends.\n" +
			"Where the lease is about to be lost the command and its children get TERM, and KILL before another client can hold it.\n" +
			"It ends with the command's code; 69: no lease; 75: lost, and the command ended on TERM; 76: lost, and killed.",
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
			defer func() { _ = c.Close() }() // the session ends by itself where it cannot be closed
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
	cmd.Flags().DurationVar(&ttl, "ttl", 10*time.Second, "how long the lease lasts after its last renewal")
	cmd.Flags().DurationVar(&grace, "grace", 2*time.Second, "how long before the end of the lease the command gets TERM")
	cmd.Flags().StringVar(&owner, "owner", "", "a name for people; else host and process")
	cmd.Flags().BoolVar(&try, "try", false, "do not wait if another client holds it")
	return cmd
}

// killGraceDivisor divides the grace: the command is killed that part of the grace before the end of its lease.
const killGraceDivisor = 5

// maxLeasePollInterval bounds the interval at which the time that is left of a lease is read.
const maxLeasePollInterval = 50 * time.Millisecond

// runWithLease runs a command while a lease is held, and releases the lease when the command ends.
func runWithLease(cmd *cobra.Command, held *lease.Held, args []string, grace time.Duration) error {
	child := exec.Command(args[0], args[1:]...)
	child.Stdin, child.Stdout, child.Stderr = cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	child.Env = append(os.Environ(), "LEASE_NAME="+held.Name, fmt.Sprint("LEASE_TOKEN=", held.Token))
	child.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // not even a killed petrelhookctl leaves it behind
	runtime.LockOSThread()                                                              // that signal comes when the thread that started the child ends
	defer runtime.UnlockOSThread()
	if err := child.Start(); err != nil {
		return runError{errors.Join(err, held.Release(context.Background()))}
	}
	c := &leasedCommand{child: child, held: held, grace: grace}
	err := c.supervise(cmd.Context().Done())
	c.signal(syscall.SIGKILL) // processes that the command has left
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = held.Release(ctx) // a lease that cannot be released ends after its TTL
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
	terminated bool          // it got SIGTERM because of the lease
	lossCode   int           // the exit code because of the lost lease; 0: it is not lost
}

// supervise waits until the command ends, and returns the error of its end. It signals the command's process group when the lease is about
// to be lost or interrupted is closed, and kills the group before the lease can be granted to another.
func (c *leasedCommand) supervise(interrupted <-chan struct{}) error {
	ended := make(chan error, 1)
	go func() { ended <- c.child.Wait() }()
	poll := time.NewTicker(min(c.grace/10, maxLeasePollInterval))
	defer poll.Stop()
	lost := c.held.Context().Done() // broken, or lost
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

// checkTimeLeft signals the command if its lease is about to end.
func (c *leasedCommand) checkTimeLeft() {
	switch left := c.held.Left(); {
	case left <= c.grace/killGraceDivisor:
		c.signal(syscall.SIGKILL)
		c.lossCode = exitKilled
	case left <= c.grace:
		c.terminate()
	}
}

// terminate sends the command SIGTERM because of its lease, once.
func (c *leasedCommand) terminate() {
	if c.terminated {
		return
	}
	c.signal(syscall.SIGTERM)
	c.terminated, c.lossCode = true, exitLeaseLost
}

// signal sends a signal to the command's process group.
func (c *leasedCommand) signal(s syscall.Signal) { syscall.Kill(-c.child.Process.Pid, s) }

// signalExitBase is what shells add to the number of the signal that ended a command.
const signalExitBase = 128

// childExit returns the error with which lease run ends, from that of the command's end.
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
