// Command petrelhook-router is a router of the fleet; its role is a subcommand.
package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes: what was checked is bad, or the command was used wrongly.
const (
	exitBad   = 1
	exitUsage = 2
)

func main() {
	os.Exit(run(os.Args, os.Stdout, os.Stderr))
}

// run is the program; it returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	command := &cli.Command{
		Name:           "petrelhook-router",
		Usage:          "a router fleet for a language model",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return cli.Exit(err, exitUsage) },
		Commands: []*cli.Command{
			{Name: "router", Usage: "serve clients, servers and the operator, as the file named by PETRELHOOK_SETTINGS says", Action: serve},
			{Name: "check", Usage: "judge a settings file or a deploy file", ArgsUsage: "FILE", Action: check},
			{Name: "state", Usage: "print what the disk of a stopped router holds", ArgsUsage: "FOLDER", Action: state},
			{Name: "status", Usage: "ask a router who it is, who leads, and what is in force there", ArgsUsage: "CONTROL-ADDRESS", Action: status},
			{Name: "admit", Usage: "have requests go to a server for some time, whatever is believed of it", ArgsUsage: "CONTROL-ADDRESS SERVER",
				Flags: []cli.Flag{&cli.DurationFlag{Name: "for", Value: defaultAdmit, Usage: "how long"}}, Action: admit},
			{Name: "version", Usage: "print the version", Action: version},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return cli.Exit("no such command: "+c.Args().First()+"; --help lists them", exitUsage)
			}
			return cli.ShowAppHelp(c)
		},
	}
	err := command.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	io.WriteString(stderr, "petrelhook-router: "+err.Error()+"\n")
	if coded, ok := err.(cli.ExitCoder); ok {
		return coded.ExitCode()
	}
	return exitUsage
}
