// Command adapter hosts instances of the decision module for the simulator: frames
// come in on standard input, one reply to each goes out on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers frames until the input ends.
func run(in io.Reader, out io.Writer) error {
	host := host{instances: map[uint16]*balance.Balancer{}}
	reader := wire.NewReader(bufio.NewReaderSize(in, 1<<16))
	for {
		host.reply.Reset()
		err := reader.Read(host.handle)
		if err == io.EOF { //nolint:errorlint // a frame that is cut short wraps io.EOF; only the end between two frames is a clean one
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := host.reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// host keeps the instances of this process; they share nothing.
type host struct {
	instances map[uint16]*balance.Balancer
	reply     wire.Reply
}

func (h *host) handle(clock float64, rec wire.Record) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Fault(rec.Instance, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	switch ev := rec.Event.(type) {
	case wire.Begin:
		cfg, err := wire.ParseSettings(ev.Seed, ev.Settings)
		if err != nil {
			h.instances[rec.Instance] = nil // its further events are ignored
			h.reply.Fault(rec.Instance, err.Error())
			return nil
		}
		b := balance.New(cfg)
		h.instances[rec.Instance] = b
		h.reply.Add(rec.Instance, b.Start(clock))
	case wire.Down:
		delete(h.instances, rec.Instance)
	case balance.Event:
		b, begun := h.instances[rec.Instance]
		if b == nil && begun {
			return nil
		}
		if b == nil {
			return fmt.Errorf("event for instance %d, which has not begun", rec.Instance)
		}
		actions, err := b.Handle(clock, ev)
		if err != nil {
			h.reply.Fault(rec.Instance, err.Error())
			return nil
		}
		h.reply.Add(rec.Instance, actions)
	}
	return nil
}
