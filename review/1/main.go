// Case 1: a shop worker repeats a call whose answer was lost, and the scheduler takes it for the outcome of a later attempt.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"cottonwell/review/standin"
)

const requests = 360 // 30 a second, for 12 s

func main() {
	root, folder, temp := os.Args[1], os.Args[2], os.Args[3]
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := standin.NewRecord(folder + "/record.txt")
	if err != nil {
		standin.CouldNotRun(nil, "record", err)
	}
	defer r.Close()
	listen, err := standin.FreeAddress()
	if err != nil {
		standin.CouldNotRun(r, "address", err)
	}

	// The proxy loses the first answer to each call 'failed', for 6 s.
	var mu sync.Mutex
	lost := map[string]bool{}
	var from, to time.Time
	proxy, err := standin.StartCallProxy(r, listen, func(call []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		_, body, _ := bytes.Cut(call, []byte("\r\n\r\n"))
		id := requestID(body)
		if !trouble || now.Before(from) || now.After(to) || !bytes.Contains(body, []byte(`"state":"failed"`)) || lost[id] {
			return false
		}
		lost[id] = true
		return true
	})
	if err != nil {
		standin.CouldNotRun(r, "proxy", err)
	}

	var broken []string
	served := 0
	check := func(a *standin.Attempt, before []*standin.Attempt) {
		for _, x := range before {
			if !x.Ended {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("%s got attempt %d of %s at %.1f while its attempt %d, received at %.1f, had neither ended nor been given up", a.Worker, a.Number, a.ID, a.Received, x.Number, x.Received))
				mu.Unlock()
			}
		}
	}
	start := time.Now()
	failing := func(a *standin.Attempt) (time.Duration, string) {
		// It fails the first attempt of a request quickly, for 10 s, and runs the others.
		if a.Number == 1 && time.Since(start) < 12*time.Second {
			return 5 * time.Millisecond, "failed"
		}
		return 90 * time.Millisecond, "done"
	}
	sound := func(*standin.Attempt) (time.Duration, string) { return 90 * time.Millisecond, "done" }
	var list []standin.Endpoint
	for i, name := range []string{"s-a1", "s-a2", "s-a3", "s-a4", "s-b1", "s-b2", "s-b3", "s-b4"} {
		w := &standin.Worker{Name: name, Run: sound, OnAttempt: check, CallTo: proxy.Address}
		if i == 0 {
			w.Run = failing
		}
		if err := standin.StartWorker(r, w); err != nil {
			standin.CouldNotRun(r, "shop worker", err)
		}
		e := standin.Endpoint{Name: name, Address: w.Address, Zone: "colombo-1", Type: "fast-4", Group: 1 + i/4, Status: "SERVING", Weight: 1}
		if i >= 1 && i <= 3 {
			e.Status = "DRAINING" // three of the eight are being replaced
		}
		list = append(list, e)
	}
	discovery, err := standin.StartDiscovery(r, list)
	if err != nil {
		standin.CouldNotRun(r, "discovery", err)
	}
	s, err := standin.StartScheduler(root, temp, standin.Settings{Name: "n0", Listen: listen, Discovery: discovery.Address, Fleet: 1, Known: discovery.List()})
	if err != nil {
		standin.CouldNotRun(r, "scheduler", err)
	}
	defer s.Stop()
	if err := s.WaitUp(15 * time.Second); err != nil {
		s.Stop()
		standin.CouldNotRun(r, "scheduler", err)
	}
	mu.Lock()
	start = time.Now()
	from = start.Add(2 * time.Second)
	to = from.Add(6 * time.Second)
	mu.Unlock()
	client := standin.NewClient(listen)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			id, key := fmt.Sprintf("%08x%08x", 0xc0ffee, i), fmt.Sprintf("%032x", 0xabcdef00+i)
			a := client.Job("purchase", id, key, 5*time.Second)
			r.Log("client: %s answered %d after %.0f ms", id, a.Status, float64(a.Elapsed.Microseconds())/1000)
			if a.Status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(33 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	s.Stop()
	mu.Lock()
	defer mu.Unlock()
	r.Log("%d purchases, %d served, %d answers to calls lost", requests, served, len(lost))
	for _, b := range broken {
		r.Log("BROKEN: %s", b)
	}
	if served == 0 {
		standin.CouldNotRun(r, "purchases", fmt.Errorf("none was served"))
	}
	if len(broken) > 0 {
		fmt.Printf("broken %d times: %s\n", len(broken), broken[0])
		r.Close()
		os.Exit(1)
	}
	fmt.Println("held")
}

// requestID returns the id of a request from the body of a call about it.
func requestID(body []byte) string {
	var event struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(body, &event)
	return event.ID
}
