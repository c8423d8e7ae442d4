// Command adapter runs instances of the decision module (package balance) for the simulator. It reads frames of events from
// standard input and answers each with one frame of actions on standard output (package wire). It exits with code 0 at an end of
// input between two frames, and with code 1 and a message on standard error if a frame cannot be read or names an instance that
// was not started. An error within one instance is reported as a fault in the reply, and the other instances continue.
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

// host holds the instances of this process, which share no state, and the reply to the current frame.
type host struct {
	instances map[uint16]*balance.Balancer // nil: the instance's settings are invalid
	reply     wire.Reply
}

// handle passes one event to its instance and adds the actions to the reply. A panic is a fault in the reply; an error ends the
// adapter.
func (h *host) handle(clock float64, record wire.Record) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Fault(record.Instance, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	switch ev := record.Event.(type) {
	case wire.InstanceStarted:
		h.start(clock, record.Instance, ev)
	case wire.InstanceKilled:
		delete(h.instances, record.Instance)
	case balance.Event:
		return h.handleEvent(clock, record.Instance, ev)
	}
	return nil
}

// start starts an instance. Invalid settings are a fault in the reply, and the instance's events are ignored.
func (h *host) start(clock float64, instance uint16, ev wire.InstanceStarted) {
	cfg, err := wire.ParseSettings(ev.Seed, ev.Settings)
	if err != nil {
		h.instances[instance] = nil // handleEvent ignores its further events
		h.reply.Fault(instance, err.Error())
		return
	}
	balancer := balance.New(cfg)
	h.instances[instance] = balancer
	h.reply.Add(instance, balancer.Start(clock))
}

// handleEvent passes an event to its instance. An impossible event is a fault in the reply; an instance that was not started is
// an error.
func (h *host) handleEvent(clock float64, instance uint16, ev balance.Event) error {
	balancer, started := h.instances[instance]
	if !started {
		return fmt.Errorf("event for instance %d, which is not running", instance)
	}
	if balancer == nil {
		return nil
	}
	actions, err := balancer.Handle(clock, ev)
	if err != nil {
		h.reply.Fault(instance, err.Error())
		return nil
	}
	h.reply.Add(instance, actions)
	return nil
}
