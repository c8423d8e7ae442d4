package balance_test

import (
	"fmt"

	"petrelhook/balance"
)

// A sidecar feeds its balancer events and carries out the actions that come back.
func Example() {
	b := balance.New(balance.Config{
		Seed: 1, MaxAttempts: 2,
		Classes: []balance.Class{{Effect: balance.Safe, LatencyTarget: 100, Deadline: 400, Value: 1}},
	})
	b.Start(0)
	show := func(now float64, ev balance.Event) {
		actions, err := b.Handle(now, ev)
		if err != nil {
			fmt.Println("impossible event:", err)
		}
		for _, a := range actions {
			switch a.Kind {
			case balance.Send:
				fmt.Printf("%v ms: send request %d to server %d\n", now, a.Request, a.Server)
			case balance.SetTimer:
				fmt.Printf("%v ms: timer %d in %v ms\n", now, a.Token, a.After)
			case balance.Reject:
				fmt.Printf("%v ms: reject request %d\n", now, a.Request)
			}
		}
	}
	show(0, balance.ServerList{Kind: balance.ListFull, Servers: []balance.Server{{ID: 10, Capacity: 1}, {ID: 20, Capacity: 1}}})
	show(5, balance.Request{ID: 1, Remaining: 400})
	show(6, balance.Outcome{Request: 1, Server: 20, Result: balance.Rejected, Latency: 1})
	show(9, balance.Outcome{Request: 1, Attempt: 1, Server: 10, Result: balance.OK, Latency: 3, Finished: true})
	// Output:
	// 5 ms: send request 1 to server 20
	// 5 ms: timer 1 in 50 ms
	// 6 ms: send request 1 to server 10
}
