// Package contend has the processes that contend for a lease, and the resource that it protects, for tests of several processes, which
// start, pause and kill them. Holders print when they believed that they hold the lease, by the machine's monotonic clock; package
// belief checks that.
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

// TTL is the TTL of holders' sessions.
const TTL = 800 * time.Millisecond

// The roles of Run, and their arguments in order. The coordinators are addresses with commas between.
const (
	// RoleHolder acquires the lease, writes and releases it, again and again: name, address of the resource, coordinators.
	RoleHolder = "holder"
	// RolePausedHolder is paused between its check of the lease and its write: address of the resource, coordinators.
	RolePausedHolder = "paused"
	// RoleSpender uses units of a limit: name, interval, limit as JSON, coordinators.
	RoleSpender = "spender"
	// RoleIdleHolder keeps a lease until it is killed: an argument that is not used, coordinators, name of the lease.
	RoleIdleHolder = "idle"
)

// Run runs a role until the process ends; a test's program calls it. An invalid argument, or a lease that cannot be had, is a panic,
// which the log of the process shows.
func Run(role string, args []string) {
	switch role {
	case RoleHolder:
		runHolder(args[0], args[1], strings.Split(args[2], ","))
	case RolePausedHolder:
		runPausedHolder(args[0], strings.Split(args[1], ","))
	case RoleSpender:
		runSpender(args[0], args[1], args[2], strings.Split(args[3], ","))
	case RoleIdleHolder:
		runIdleHolder(strings.Split(args[1], ","), args[2])
	}
}

// CheckedMessage is what a paused holder prints once it has found that it holds the lease, just before it is paused.
const CheckedMessage = "checked"

// ParseBeliefs reads what a holder has printed.
func ParseBeliefs(holder, text string) (all []belief.Belief) {
	for in := bufio.NewScanner(strings.NewReader(text)); in.Scan(); {
		l := belief.Belief{Holder: holder}
		if n, _ := fmt.Sscan(in.Text(), &l.Token, &l.From, &l.To); n == 3 {
			all = append(all, l)
		}
	}
	return all
}

// runHolder contends for a lease, prints its beliefs and writes to the resource, until its standard input ends.
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

// runPausedHolder is a holder that is paused (SIGSTOP) between its check of the lease and its write.
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
	fmt.Println(CheckedMessage)
	// Sent to this thread the signal takes effect before the next line; another thread would let this one go on for a moment.
	runtime.LockOSThread()
	_ = unix.Tgkill(os.Getpid(), unix.Gettid(), unix.SIGSTOP)
	fmt.Fprintf(conn, "%s %d\n", RolePausedHolder, h.Token)
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	fmt.Print(answer)
	os.Exit(0)
}

// runIdleHolder acquires a lease, prints its token, and holds it until it is killed.
func runIdleHolder(addrs []string, name string) {
	c, err := lease.New(lease.Options{Addrs: addrs, Owner: "idle", TTL: TTL})
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

// Resource is protected by the lease, and records each write.
type Resource struct {
	Guard  lease.Guard
	mu     sync.Mutex
	writes []belief.Write
}

// Serve serves the connection of one holder until it ends.
func (r *Resource) Serve(c net.Conn) {
	for in := bufio.NewScanner(c); in.Scan(); {
		a := belief.Write{}
		_, _ = fmt.Sscan(in.Text(), &a.Holder, &a.Token)
		r.mu.Lock() // records are in the order of the guard
		err := r.Guard.Admit(lease.Token(a.Token), func() error { return nil })
		a.Admitted = err == nil
		r.writes = append(r.writes, a)
		r.mu.Unlock()
		if errors.Is(err, lease.ErrStaleToken) {
			io.WriteString(c, "old\n")
		} else {
			io.WriteString(c, "ok\n")
		}
	}
}

// Writes are the writes so far, admitted or not.
func (r *Resource) Writes() []belief.Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.writes)
}
