package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"petrelhook/internal/router/node"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/storage"
)

const (
	memoryShare  = 0.7 // of the limit, at which the collector works harder
	megabyte     = 1 << 20
	callTimeout  = 3 * time.Second
	defaultAdmit = 10 * time.Minute
)

func argument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", cli.Exit(c.Name+" takes one "+c.ArgsUsage, exitUsage)
	}
	return c.Args().First(), nil
}

func version(_ context.Context, c *cli.Command) error {
	build, _ := debug.ReadBuildInfo()
	_, err := fmt.Fprintln(c.Root().Writer, "petrelhook-router", build.Main.Version, build.GoVersion)
	return err
}

func check(_ context.Context, c *cli.Command) error {
	path, err := argument(c)
	if err != nil {
		return err
	}
	if settings.IsDeploy(path) {
		return checkDeploy(c, path)
	}
	s, err := settings.Load(path)
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	fmt.Fprintf(c.Root().Writer, "%s: %s in zone %s: fit\n", path, s.NodeName, s.Zone)
	return nil
}

func checkDeploy(c *cli.Command, path string) error {
	d, err := settings.LoadDeploy(path)
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	fmt.Fprintf(c.Root().Writer, "%s: roles %s: fit\n", path, strings.Join(d.RoleNames(), ", "))
	return nil
}

// state prints a disk without changing it.
func state(_ context.Context, c *cli.Command) error {
	folder, err := argument(c)
	if err != nil {
		return err
	}
	kept, err := storage.Inspect(folder)
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	register := operatorapi.NewRegister()
	if len(kept.Snapshot.Data) > 0 {
		if err := register.Restore(kept.Snapshot.Data); err != nil {
			return cli.Exit(err, exitBad)
		}
	}
	position := kept.Snapshot.Position
	for _, e := range kept.Entries {
		register.Apply(e.Data)
		position = e.Position
	}
	return printJSON(c, map[string]any{
		"ID": kept.ID, "Promised": kept.Hard.Promised, "Accepted": kept.Hard.Accepted, "Position": position,
		"Entries": len(kept.Entries), "Generation": register.Generation(),
	})
}

// status asks a running router.
func status(_ context.Context, c *cli.Command) error {
	address, err := argument(c)
	if err != nil {
		return err
	}
	var got node.Status
	answer, err := call(address).Get(node.StatusPath).ReceiveSuccess(&got)
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	if answer.StatusCode != http.StatusOK {
		return cli.Exit("it answers "+answer.Status, exitBad)
	}
	return printJSON(c, got)
}

// admit tells a machine of the core that a server is not to be ejected for some time.
func admit(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit(c.Name+" takes "+c.ArgsUsage, exitUsage)
	}
	query := struct {
		For string `url:"for"`
	}{c.Duration("for").String()}
	path := "/-/servers/" + url.PathEscape(c.Args().Get(1)) + "/admit"
	request, err := call(c.Args().Get(0)).Post(path).QueryStruct(query).Request()
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	answer, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, megabyte))
		return cli.Exit("it answers "+answer.Status+": "+strings.TrimSpace(string(text)), exitBad)
	}
	return nil
}

// call begins a call to a router's control address.
func call(address string) *sling.Sling {
	return sling.New().Client(&http.Client{Timeout: callTimeout}).Base("http://" + address)
}

func printJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func serve(parent context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return cli.Exit("router takes no arguments", exitUsage)
	}
	s, err := settings.Load(os.Getenv(settings.Variable))
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * megabyte * float64(s.Limits.MemoryMb)))
	}
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: c.Root().ErrWriter}}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	if err := node.New(s, logger).Run(ctx, reload, settings.Load); err != nil {
		return cli.Exit(err, exitBad)
	}
	return nil
}
