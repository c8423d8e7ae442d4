package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// statusTime is for how long one coordinator is waited for.
const statusTime = 2 * time.Second

func fleetCommand() *cobra.Command {
	a := &asking{}
	cmd := &cobra.Command{Use: "fleet", Short: "The coordinators: how they are, add or remove one, back up and restore"}
	a.flags(cmd)
	cmd.AddCommand(a.statusCommand(), a.changeCommand(), a.removeCommand(), a.backupCommand(), restoreCommand())
	return cmd
}

// member is a coordinator, as status shows it.
type member struct {
	Addr   string        `json:"addr"`
	Err    string        `json:"err,omitempty"`
	Status *fleet.Status `json:"status,omitempty"`
}

func (a *asking) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "What each coordinator says of itself; 1: no majority follows a leader", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := a.operator()
			if err != nil {
				return err
			}
			var all []member
			follow := map[uint64]int{}
			most := 0
			for _, addr := range a.addrs {
				ctx, cancel := context.WithTimeout(cmd.Context(), min(a.within, statusTime))
				s, err := o.Status(ctx, addr)
				cancel()
				if m := (member{Addr: addr, Status: s}); err != nil {
					m.Err = err.Error()
					all = append(all, m)
					continue
				}
				all = append(all, member{Addr: addr, Status: s})
				if s.Leader != 0 {
					follow[s.Leader]++
				}
				most = max(most, len(s.Members))
			}
			err = a.print(cmd, all, func(w *tabwriter.Writer) {
				fmt.Fprintln(w, "ADDRESS\tID\tLEADER\tTERM\tAPPLIED\tLOG\tSESSIONS\tLEASES\tTOKEN\t")
				for _, m := range all {
					if m.Status == nil {
						fmt.Fprintf(w, "%s\t%s\n", m.Addr, m.Err)
						continue
					}
					s := m.Status
					fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", m.Addr, s.ID, s.Leader, s.Term, s.Applied, s.Log, s.Sessions, s.Leases, s.Token)
				}
			})
			for _, n := range follow {
				if err == nil && n > most/2 {
					return nil
				}
			}
			if err == nil {
				err = errBad
			}
			return err
		}}
}

func (a *asking) changed(cmd *cobra.Command, in fleet.Request) error {
	told, err := a.ask(cmd, in)
	if err != nil {
		return err
	}
	return a.print(cmd, told.Members, func(w *tabwriter.Writer) {
		for _, m := range told.Members {
			role := "votes"
			if m.Learner {
				role = "learns"
			}
			fmt.Fprintf(w, "%d\t%s\t%s\n", m.ID, m.Addr, role)
		}
	})
}

func (a *asking) changeCommand() *cobra.Command {
	return &cobra.Command{Use: "add ID HOST:PORT", Short: "Add a coordinator, started with join: true; it votes once it has the log", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || id == 0 {
				return fmt.Errorf("%q: write an id from 1 on that was never used", args[0])
			}
			return a.changed(cmd, fleet.Request{AddMember: &replica.Member{ID: id, Addr: args[1]}})
		}}
}

func (a *asking) removeCommand() *cobra.Command {
	return &cobra.Command{Use: "remove ID", Short: "Remove a coordinator; it ends, and its id is never used again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || id == 0 {
				return fmt.Errorf("%q: write the id of a coordinator", args[0])
			}
			return a.changed(cmd, fleet.Request{RemoveMember: id})
		}}
}

func (a *asking) backupCommand() *cobra.Command {
	return &cobra.Command{Use: "backup FILE", Short: "Write all that is held, as of now, to a new file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			told, err := a.ask(cmd, fleet.Request{Backup: true})
			if err != nil {
				return err
			}
			f, err := os.OpenFile(args[0], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return runError{err}
			}
			if _, err = f.Write(told.Backup); err == nil {
				err = f.Sync()
			}
			if failed := f.Close(); err == nil {
				err = failed
			}
			if err != nil {
				_ = os.Remove(args[0]) // a partial back-up must not be taken for one; the first error says more
				return runError{err}
			}
			return nil
		}}
}

func restoreCommand() *cobra.Command {
	var config string
	var above uint64
	cmd := &cobra.Command{Use: "restore FILE --config FILE", Short: "Begin a coordinator of a new group from a back-up; the old group must be ended", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if config == "" {
				return fmt.Errorf("--config: missing: the coordinator's settings")
			}
			c, err := fleet.ReadConfig(config)
			if err == nil {
				err = fleet.Restore(c, args[0], lease.Token(above))
			}
			if err != nil {
				return runError{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: restored; once its group runs it grants nothing for %v\n", c.Data, c.LongestTTL)
			return nil
		}}
	cmd.Flags().StringVar(&config, "config", "", "the coordinator's settings, a `FILE` (YAML)")
	cmd.Flags().Uint64Var(&above, "above", 0, "the largest `TOKEN` that is known to have been given after the back-up")
	return cmd
}
