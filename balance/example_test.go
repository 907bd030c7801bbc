package balance_test

import (
	"fmt"
	"time"

	"cottonwell/balance"
)

// One request and two workers: the request is sent, and its response ends it.
func Example() {
	b, err := balance.New(balance.Settings{
		Fleet: 1, MaxAttempts: 2, Tick: time.Millisecond, ColdFrom: 0.3, CollapseMultiple: 3,
		Classes: []balance.Class{{Name: "job", LatencyTarget: time.Second, Stretch: 1, Deadline: 5 * time.Second, Value: 1}},
	}, 1)
	if err != nil {
		panic(err)
	}
	now := time.Duration(0) // the host's clock
	list := []balance.Member{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}
	acts := b.Step(now, &balance.Event{Kind: balance.Listed, List: balance.Complete, Members: list}, nil)
	acts = b.Step(now, &balance.Event{Kind: balance.Arrived, Request: 7, Class: "job", Slots: 1,
		Budget: 5 * time.Second}, acts[:0])
	for _, a := range acts {
		if a.Kind == balance.Send {
			fmt.Println("send request", a.Request, "to a listed worker:", a.Worker == list[0].ID || a.Worker == list[1].ID)
			b.Step(now+time.Second, &balance.Event{Kind: balance.Ended, Request: 7, Worker: a.Worker,
				Result: balance.OK, Final: true, Elapsed: time.Second}, nil)
		}
	}
	// Output: send request 7 to a listed worker: true
}
