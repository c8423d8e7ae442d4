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

// statusTimeout bounds the wait for one coordinator's status.
const statusTimeout = 2 * time.Second

func fleetCommand() *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{Use: "fleet", Short: "The coordinators: how they are, add or remove one, back up and restore"}
	a.add(cmd)
	cmd.AddCommand(a.statusCommand(), a.addCommand(), a.removeCommand(), a.backupCommand(), restoreCommand())
	return cmd
}

// member is one coordinator in the output of status. Its JSON is an interface.
type member struct {
	Addr   string        `json:"addr"`
	Err    string        `json:"err,omitempty"`
	Status *fleet.Status `json:"status,omitempty"`
}

func (a *coordinatorFlags) statusCommand() *cobra.Command {
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
				ctx, cancel := context.WithTimeout(cmd.Context(), min(a.timeout, statusTimeout))
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
				err = errNegativeResult
			}
			return err
		}}
}

// changeMembers sends a change of the group of coordinators, and prints the members after it.
func (a *coordinatorFlags) changeMembers(cmd *cobra.Command, request fleet.Request) error {
	response, err := a.call(cmd, request)
	if err != nil {
		return err
	}
	return a.print(cmd, response.Members, func(w *tabwriter.Writer) {
		for _, m := range response.Members {
			role := "votes"
			if m.Learner {
				role = "learns"
			}
			fmt.Fprintf(w, "%d\t%s\t%s\n", m.ID, m.Addr, role)
		}
	})
}

func (a *coordinatorFlags) addCommand() *cobra.Command {
	return &cobra.Command{Use: "add ID HOST:PORT", Short: "Add a coordinator, started with join: true; it votes once it has the log", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || id == 0 {
				return fmt.Errorf("%q: write an id from 1 on that was never used", args[0])
			}
			return a.changeMembers(cmd, fleet.Request{AddMember: &replica.Member{ID: id, Addr: args[1]}})
		}}
}

func (a *coordinatorFlags) removeCommand() *cobra.Command {
	return &cobra.Command{Use: "remove ID", Short: "Remove a coordinator; it ends, and its id is never used again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || id == 0 {
				return fmt.Errorf("%q: write the id of a coordinator", args[0])
			}
			return a.changeMembers(cmd, fleet.Request{RemoveMember: id})
		}}
}

func (a *coordinatorFlags) backupCommand() *cobra.Command {
	return &cobra.Command{Use: "backup FILE", Short: "Write all that is held, as of now, to a new file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := a.call(cmd, fleet.Request{Backup: true})
			if err != nil {
				return err
			}
			f, err := os.OpenFile(args[0], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return runError{err}
			}
			if _, err = f.Write(response.Backup); err == nil {
				err = f.Sync()
			}
			if failed := f.Close(); err == nil {
				err = failed
			}
			if err != nil {
				_ = os.Remove(args[0]) // a partial back-up must not be left; the first error is the one to report
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
			fmt.Fprintf(cmd.OutOrStdout(), "%s: restored; once its group runs it grants nothing for %v\n", c.Data, c.MaxTTL)
			return nil
		}}
	cmd.Flags().StringVar(&config, "config", "", "the coordinator's settings, a `FILE` (YAML)")
	cmd.Flags().Uint64Var(&above, "above", 0, "the largest `TOKEN` that is known to have been given after the back-up")
	return cmd
}
