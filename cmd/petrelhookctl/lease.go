package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/fleet"
	core "petrelhook/internal/coordination/lease"
	"petrelhook/lease"
)

func leaseCommand() *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{Use: "lease", Short: "Show and break leases, or hold one while a command runs"}
	a.add(cmd)
	cmd.AddCommand(
		a.listLeasesCommand(),
		a.showLeaseCommand(),
		a.breakLeaseCommand("break NAME", "Reject further renewals of a lease: its holder releases it, or it expires", false),
		a.breakLeaseCommand("release NAME", "Break a lease and wait until its holder has released it or it has expired", true),
		a.runLeaseCommand())
	return cmd
}

func (a *coordinatorFlags) listLeasesCommand() *cobra.Command {
	return &cobra.Command{Use: "list [PREFIX]", Short: "List the leases with their holders and the number of waiting sessions", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := a.leases(cmd, strings.Join(args, ""))
			if err != nil {
				return err
			}
			return a.print(cmd, all, func(w *tabwriter.Writer) { writeLeases(w, all, false) })
		}}
}

func (a *coordinatorFlags) showLeaseCommand() *cobra.Command {
	return &cobra.Command{Use: "show NAME", Short: "Show the holder of a lease and the sessions that wait for it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			info, err := a.lease(cmd, args[0])
			if err != nil {
				return err
			}
			if info == nil {
				return runError{fmt.Errorf("%s: nobody holds it, and nobody waits for it", args[0])}
			}
			result := []core.Info{*info}
			return a.print(cmd, result, func(w *tabwriter.Writer) { writeLeases(w, result, true) })
		}}
}

// leases returns the leases whose names begin with prefix.
func (a *coordinatorFlags) leases(cmd *cobra.Command, prefix string) ([]core.Info, error) {
	response, err := a.call(cmd, fleet.Request{ListLeases: &prefix})
	if err != nil {
		return nil, err
	}
	return response.Leases, nil
}

// lease returns the lease of the given name. It returns nil without an error if no session holds the lease or waits for it.
func (a *coordinatorFlags) lease(cmd *cobra.Command, name string) (*core.Info, error) {
	all, err := a.leases(cmd, name)
	if err != nil {
		return nil, err
	}
	for i := range all {
		if all[i].Name == name {
			return &all[i], nil
		}
	}
	return nil, nil
}

// writeLeases writes a table of leases. If waiters is set, it lists the waiting sessions below each lease.
func writeLeases(w *tabwriter.Writer, all []core.Info, waiters bool) {
	fmt.Fprintln(w, "LEASE\tHOLDER\tSESSION\tTOKEN\tTTL\tWAIT\t")
	for _, info := range all {
		note := ""
		if info.Broken {
			note = "broken"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%d\t%s\n", info.Name, info.Owner, info.Session, info.Token, info.TTL, len(info.Queue), note)
		if waiters {
			for _, waiter := range info.Queue {
				fmt.Fprintf(w, "\twaits: %s\t%d\t\t\t\t\n", waiter.Owner, waiter.Session)
			}
		}
	}
}

// releasePollInterval is the interval at which awaitRelease asks whether a lease is still held.
const releasePollInterval = 100 * time.Millisecond

func (a *coordinatorFlags) breakLeaseCommand(use, short string, wait bool) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		name := args[0]
		response, err := a.call(cmd, fleet.Request{Command: &core.Command{Kind: core.Break, Name: name}})
		if err != nil {
			return err
		}
		answer := response.Answer
		if answer.Status != core.OK {
			return runError{fmt.Errorf("%s: nobody holds it", name)}
		}
		if wait {
			if err := a.awaitRelease(cmd, name, answer.Token); err != nil {
				return err
			}
		}
		return a.print(cmd, answer, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "%s: the grant %d of %s is broken\n", name, answer.Token, answer.Holder)
		})
	}}
}

// awaitRelease waits until the grant of a lease with the given token has ended by a release or by expiry.
func (a *coordinatorFlags) awaitRelease(cmd *cobra.Command, name string, token lease.Token) error {
	for {
		info, err := a.lease(cmd, name)
		if err != nil {
			return err
		}
		if info == nil || info.Token != token {
			return nil
		}
		select {
		case <-cmd.Context().Done():
			return runError{cmd.Context().Err()}
		case <-time.After(releasePollInterval):
		}
	}
}
