// Package contend is processes that contend for a lease, and the resource that it guards: what tests of several processes start, stop
// and kill. Holders say what they believed, with the moments on the machine's steady clock; package belief judges it.
package contend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/rig/belief"
	"petrelhook/lease"
)

// TTL is that of holders' sessions.
const TTL = 800 * time.Millisecond

// Run is a process in a role, until it ends; a test's program calls it. The arguments: of a holder its name, the resource and the
// coordinators, by commas; of one that stops itself the resource and the coordinators; of one that keeps anything, the coordinators and
// the lease.
func Run(role string, args []string) {
	switch role {
	case "holder":
		hold(args[0], args[1], strings.Split(args[2], ","))
	case "stops":
		stops(args[0], strings.Split(args[1], ","))
	case "spend":
		spend(args[0], args[1], args[2], strings.Split(args[3], ","))
	case "keeps":
		keeps(strings.Split(args[1], ","), args[2])
	}
}

// Looks are what a holder has said.
func Looks(who, text string) (all []belief.Look) {
	for in := bufio.NewScanner(strings.NewReader(text)); in.Scan(); {
		l := belief.Look{Who: who}
		if n, _ := fmt.Sscan(in.Text(), &l.Token, &l.From, &l.To); n == 3 {
			all = append(all, l)
		}
	}
	return all
}

// hold is a process that contends for a lease, says when it believes, and acts on the resource, until its input ends.
func hold(who, resource string, addrs []string) {
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); os.Exit(0) }()
	c, err := lease.New(lease.Options{Addrs: addrs, Owner: "same", TTL: TTL})
	if err != nil {
		panic(err)
	}
	conn, err := net.Dial("tcp", resource)
	if err != nil {
		panic(err)
	}
	answers := bufio.NewReader(conn)
	for {
		h, err := c.Hold(context.Background(), "task")
		if err != nil {
			continue
		}
		for range 5 + rand.IntN(40) {
			from := monotonic.Now()
			if !h.Valid() {
				break
			}
			fmt.Printf("%d %d %d\n", h.Token, from, monotonic.Now())
			fmt.Fprintf(conn, "%s %d\n", who, h.Token)
			if answer, err := answers.ReadString('\n'); err != nil || answer == "old\n" {
				break
			}
			time.Sleep(rand.N(8 * time.Millisecond))
		}
		release, cancel := context.WithTimeout(context.Background(), TTL)
		_ = h.Release(release)
		cancel()
	}
}

// stops is a holder that is stopped between its look and its act.
func stops(resource string, addrs []string) {
	c, err := lease.New(lease.Options{Addrs: addrs, Owner: "same", TTL: 3 * time.Second})
	if err != nil {
		panic(err)
	}
	conn, err := net.Dial("tcp", resource)
	if err != nil {
		panic(err)
	}
	var h *lease.Held
	for h == nil || !h.Valid() {
		if h, err = c.Hold(context.Background(), "task"); err != nil {
			panic(err)
		}
	}
	fmt.Println("looked")
	runtime.LockOSThread() // sent to this thread it takes effect before the next line; another would let this one go on for a moment
	_ = unix.Tgkill(os.Getpid(), unix.Gettid(), unix.SIGSTOP)
	fmt.Fprintf(conn, "stops %d\n", h.Token)
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	fmt.Print(answer)
	os.Exit(0)
}

// keeps is a holder that holds until it is killed.
func keeps(addrs []string, name string) {
	c, err := lease.New(lease.Options{Addrs: addrs, Owner: "keeps", TTL: TTL})
	if err != nil {
		panic(err)
	}
	h, err := c.Hold(context.Background(), name)
	if err != nil {
		panic(err)
	}
	fmt.Println(h.Token)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// Resource is guarded by the lease, and logs each act.
type Resource struct {
	Guard lease.Guard
	mu    sync.Mutex
	acts  []belief.Act
}

// Serve answers one holder.
func (r *Resource) Serve(c net.Conn) {
	for in := bufio.NewScanner(c); in.Scan(); {
		a := belief.Act{}
		_, _ = fmt.Sscan(in.Text(), &a.Who, &a.Token)
		r.mu.Lock() // the log's order is the guard's
		err := r.Guard.Admit(lease.Token(a.Token), func() error { return nil })
		a.Admitted = err == nil
		r.acts = append(r.acts, a)
		r.mu.Unlock()
		if errors.Is(err, lease.ErrOld) {
			io.WriteString(c, "old\n")
		} else {
			io.WriteString(c, "ok\n")
		}
	}
}

// Acts are those so far.
func (r *Resource) Acts() []belief.Act {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.acts)
}
