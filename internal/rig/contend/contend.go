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
		runHolder(args[0], args[1], strings.Split(args[2], ","))
	case "stops":
		runPausedHolder(args[0], strings.Split(args[1], ","))
	case "spend":
		runSpender(args[0], args[1], args[2], strings.Split(args[3], ","))
	case "keeps":
		runIdleHolder(strings.Split(args[1], ","), args[2])
	}
}

// ParseBeliefs are what a holder has said.
func ParseBeliefs(holder, text string) (all []belief.Belief) {
	for in := bufio.NewScanner(strings.NewReader(text)); in.Scan(); {
		l := belief.Belief{Holder: holder}
		if n, _ := fmt.Sscan(in.Text(), &l.Token, &l.From, &l.To); n == 3 {
			all = append(all, l)
		}
	}
	return all
}

// runHolder is a process that contends for a lease, says when it believes, and acts on the resource, until its input ends.
func runHolder(name, resource string, addrs []string) {
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
			fmt.Fprintf(conn, "%s %d\n", name, h.Token)
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

// runPausedHolder is a holder that is stopped between its look and its act.
func runPausedHolder(resource string, addrs []string) {
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

// runIdleHolder is a holder that holds until it is killed.
func runIdleHolder(addrs []string, name string) {
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
	Guard  lease.Guard
	mu     sync.Mutex
	writes []belief.Write
}

// Serve answers one holder.
func (r *Resource) Serve(c net.Conn) {
	for in := bufio.NewScanner(c); in.Scan(); {
		a := belief.Write{}
		_, _ = fmt.Sscan(in.Text(), &a.Holder, &a.Token)
		r.mu.Lock() // the log's order is the guard's
		err := r.Guard.Admit(lease.Token(a.Token), func() error { return nil })
		a.Admitted = err == nil
		r.writes = append(r.writes, a)
		r.mu.Unlock()
		if errors.Is(err, lease.ErrOld) {
			io.WriteString(c, "old\n")
		} else {
			io.WriteString(c, "ok\n")
		}
	}
}

// Writes are those so far.
func (r *Resource) Writes() []belief.Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.writes)
}
