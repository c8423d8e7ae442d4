package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/fleet"
	core "petrelhook/internal/coordination/lease"
	"petrelhook/lease"
)

// coordinatorFlags are the flags of the subcommands that call coordinators.
type coordinatorFlags struct {
	addrs   []string
	output  string
	timeout time.Duration
}

func (a *coordinatorFlags) add(cmd *cobra.Command) {
	addrs := []string{fleet.DefaultAddr}
	if text := os.Getenv("PETRELFLEET_ADDRS"); text != "" {
		addrs = strings.Split(text, ",")
	}
	cmd.PersistentFlags().StringSliceVar(&a.addrs, "addrs", addrs, "`HOST:PORT,...` of the coordinators; else $PETRELFLEET_ADDRS")
	cmd.PersistentFlags().StringVar(&a.output, "output", "text", "text or json")
	cmd.PersistentFlags().DurationVar(&a.timeout, "within", 10*time.Second, "how long an answer may take")
}

// operator checks the flags, and returns the client of the coordinators.
func (a *coordinatorFlags) operator() (*fleet.Operator, error) {
	if a.output != "text" && a.output != "json" {
		return nil, fmt.Errorf("--output: %q: write text or json", a.output)
	}
	o := &fleet.Operator{Addrs: a.addrs}
	return o, o.Check()
}

// withTimeout is the context of one call.
func (a *coordinatorFlags) withTimeout(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), a.timeout)
}

// call sends a request to the leader.
func (a *coordinatorFlags) call(cmd *cobra.Command, request fleet.Request) (*fleet.Response, error) {
	o, err := a.operator()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), a.timeout)
	defer cancel()
	response, err := o.Call(ctx, request)
	if err != nil {
		return nil, runError{err}
	}
	return response, nil
}

// print writes a result in the form of --output: JSON, or lines of text.
func (a *coordinatorFlags) print(cmd *cobra.Command, v any, text func(w *tabwriter.Writer)) error {
	if a.output == "json" {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func leaseCommand() *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{Use: "lease", Short: "Leases for tasks of the fleet: who holds them, hold one while a command runs"}
	a.add(cmd)
	list := func(use, short string, args cobra.PositionalArgs, show bool) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
			prefix := strings.Join(args, "")
			response, err := a.call(cmd, fleet.Request{ListLeases: &prefix})
			if err != nil {
				return err
			}
			all := response.Leases
			if show {
				all = nil
				for _, h := range response.Leases {
					if h.Name == prefix {
						all = append(all, h)
					}
				}
				if all == nil {
					return runError{fmt.Errorf("%s: nobody holds it, and nobody waits for it", prefix)}
				}
			}
			return a.print(cmd, all, func(w *tabwriter.Writer) { writeLeases(w, all, show) })
		}}
	}
	cmd.AddCommand(
		list("list [PREFIX]", "Who holds which lease, and how many wait", cobra.MaximumNArgs(1), false),
		list("show NAME", "Who holds a lease, and who waits for it", cobra.ExactArgs(1), true),
		a.breakCommand("break NAME", "Have a lease renewed no more: its holder lets go, or it is free when its time is up", false),
		a.breakCommand("release NAME", "As break, and wait until the holder has let go", true),
		a.runCommand())
	return cmd
}

// writeLeases writes a table of leases, with the sessions that wait for them if waiters is set.
func writeLeases(w *tabwriter.Writer, all []core.Info, waiters bool) {
	fmt.Fprintln(w, "LEASE\tHOLDER\tSESSION\tTOKEN\tTTL\tWAIT\t")
	for _, h := range all {
		more := ""
		if h.Broken {
			more = "broken"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%d\t%s\n", h.Name, h.Owner, h.Session, h.Token, h.TTL, len(h.Queue), more)
		if waiters {
			for _, q := range h.Queue {
				fmt.Fprintf(w, "\twaits: %s\t%d\t\t\t\t\n", q.Owner, q.Session)
			}
		}
	}
}

func (a *coordinatorFlags) breakCommand(use, short string, wait bool) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		response, err := a.call(cmd, fleet.Request{Command: &core.Command{Kind: core.Break, Name: args[0]}})
		if err != nil {
			return err
		}
		if response.Answer.Status != core.OK {
			return runError{fmt.Errorf("%s: nobody holds it", args[0])}
		}
		for broken := response.Answer.Token; wait; {
			response, err := a.call(cmd, fleet.Request{ListLeases: &args[0]})
			if err != nil {
				return err
			}
			held := false
			for _, h := range response.Leases {
				held = held || h.Name == args[0] && h.Token == broken
			}
			if !held {
				break
			}
			select {
			case <-cmd.Context().Done():
				return runError{cmd.Context().Err()}
			case <-time.After(100 * time.Millisecond):
			}
		}
		return a.print(cmd, response.Answer, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "%s: the grant %d of %s is broken\n", args[0], response.Answer.Token, response.Answer.Holder)
		})
	}}
}

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
		Long: "Waits for the lease, runs the command with LEASE_NAME and LEASE_TOKEN in its environment, and lets go when it ends.\n" +
			"Where the lease is about to be lost the command and its children get TERM, and KILL before it can be another's.\n" +
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
			return under(cmd, held, args[1:], grace)
		},
	}
	cmd.Flags().DurationVar(&ttl, "ttl", 10*time.Second, "for how long the lease outlives its holder")
	cmd.Flags().DurationVar(&grace, "grace", 2*time.Second, "how long before the end of the lease the command gets TERM")
	cmd.Flags().StringVar(&owner, "owner", "", "a name for people; else host and process")
	cmd.Flags().BoolVar(&try, "try", false, "do not wait where somebody else holds it")
	return cmd
}

// under runs a command while a lease is held. It signals the command's process group when the lease is about to be lost, and kills it
// before the lease can be granted to another.
func under(cmd *cobra.Command, held *lease.Held, args []string, grace time.Duration) error {
	child := exec.Command(args[0], args[1:]...)
	child.Stdin, child.Stdout, child.Stderr = cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	child.Env = append(os.Environ(), "LEASE_NAME="+held.Name, fmt.Sprint("LEASE_TOKEN=", held.Token))
	child.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // not even a killed petrelhookctl leaves it behind
	runtime.LockOSThread()                                                              // that signal comes when the thread that started the child ends
	defer runtime.UnlockOSThread()
	if err := child.Start(); err != nil {
		return runError{errors.Join(err, held.Release(context.Background()))}
	}
	signalGroup := func(s syscall.Signal) { syscall.Kill(-child.Process.Pid, s) }
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	poll := time.NewTicker(min(grace/10, 50*time.Millisecond))
	defer poll.Stop()
	terminated, code, interrupted, lost := false, 0, cmd.Context().Done(), held.Context().Done()
	for {
		select {
		case err := <-ended:
			signalGroup(syscall.SIGKILL) // processes that the command has left
			release, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			_ = held.Release(release) // a lease that cannot be released ends after its TTL
			var exit *exec.ExitError
			switch {
			case code != 0:
				fmt.Fprintf(cmd.ErrOrStderr(), "petrelhookctl: %s: the lease is lost\n", held.Name)
				return exitCodeError(code)
			case errors.As(err, &exit) && exit.ExitCode() >= 0:
				return exitCodeError(exit.ExitCode())
			case errors.As(err, &exit):
				return exitCodeError(128 + int(exit.Sys().(syscall.WaitStatus).Signal()))
			case err != nil:
				return runError{err}
			}
			return nil
		case <-interrupted:
			interrupted = nil
			signalGroup(syscall.SIGTERM)
		case <-lost: // broken, or lost
			lost = nil
			if !terminated && held.Left() > grace/5 {
				signalGroup(syscall.SIGTERM)
				terminated, code = true, exitLeaseLost
			}
		case <-poll.C:
			switch left := held.Left(); {
			case left <= grace/5:
				signalGroup(syscall.SIGKILL)
				code = exitKilled
			case left <= grace && !terminated:
				signalGroup(syscall.SIGTERM)
				terminated, code = true, exitLeaseLost
			}
		}
	}
}
