// Case 1: a shop worker repeats a call 'returned' whose answer was lost, the scheduler takes it for the outcome of a later attempt
// that is running, and refuses a purchase that runs.
package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"cottonwell/review/standin"
)

const requests = 100 // ten a second, for 10 s

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

	// The proxy loses the first answer to each call 'returned', for 6 s.
	var mu sync.Mutex
	lost := map[string]bool{}
	var from, to time.Time
	proxy, err := standin.StartCallProxy(r, listen, func(call []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		_, body, _ := bytes.Cut(call, []byte("\r\n\r\n"))
		id := requestID(body)
		if !trouble || now.Before(from) || now.After(to) || !bytes.Contains(body, []byte(`"state":"returned"`)) || lost[id] {
			return false
		}
		lost[id] = true
		return true
	})
	if err != nil {
		standin.CouldNotRun(r, "proxy", err)
	}

	// Each pod grants a key once, and drops a repeat within 7.5 s.
	type grant struct {
		pod, id string
		at      time.Time
	}
	grants := map[string][]grant{}  // by key
	executed := map[string]string{} // shop worker, by id
	result := func(a *standin.Attempt) string {
		mu.Lock()
		defer mu.Unlock()
		executed[a.ID] = a.Worker
		pod := a.Worker[:3]
		for _, g := range grants[a.Key] {
			if g.pod == pod && time.Since(g.at) < 7500*time.Millisecond {
				r.Log("pod %s: the key of %s is a repeat, nothing is granted", pod, a.ID)
				return "granted to " + a.Key
			}
		}
		grants[a.Key] = append(grants[a.Key], grant{pod, a.ID, time.Now()})
		r.Log("pod %s: granted, key %s, by %s", pod, a.Key, a.ID)
		return "granted to " + a.Key
	}
	// A shop worker hands back half of the requests that it gets, unstarted, for want of memory, and runs them when they come again.
	run := func(a *standin.Attempt) (time.Duration, string) {
		if hash := sha256.Sum256([]byte(a.ID + a.Worker)); a.Number == 1 && hash[0]%2 == 0 {
			return 5 * time.Millisecond, "returned"
		}
		return 150 * time.Millisecond, "done"
	}
	var list []standin.Endpoint
	for i, name := range []string{"s-a1", "s-a2", "s-b1", "s-b2"} {
		w := &standin.Worker{Name: name, Run: run, Result: result, CallTo: proxy.Address, RetryAfter: 100 * time.Millisecond}
		if err := standin.StartWorker(r, w); err != nil {
			standin.CouldNotRun(r, "shop worker", err)
		}
		e := standin.Endpoint{Name: name, Address: w.Address, Zone: "colombo-1", Type: "slow-4", Group: 1 + i/2, Status: "SERVING", Weight: 1}
		if i%2 == 1 {
			e.Status = "DRAINING" // half of the shop workers are being replaced
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
	from = time.Now().Add(2 * time.Second)
	to = from.Add(6 * time.Second)
	mu.Unlock()
	client := standin.NewClient(listen)
	var wg sync.WaitGroup
	answers, refused := map[int]int{}, map[string]bool{}
	for i := range requests {
		wg.Go(func() {
			key := fmt.Sprintf("%032x", 0xabcdef00+i)
			for try := range 3 { // a client tries again after a refusal, with the same key
				id := fmt.Sprintf("%08x%08x", 0xc0ffee+try, i)
				r.Log("client: sends %s (key %s, try %d)", id, key, try+1)
				a := client.Job("purchase", id, key, 5*time.Second)
				r.Log("client: %s (key %s, try %d) answered %d after %.0f ms", id, key, try+1, a.Status, float64(a.Elapsed.Microseconds())/1000)
				mu.Lock()
				answers[a.Status]++
				refused[id] = a.Status == 429 || a.Status == 503
				again := refused[id]
				mu.Unlock()
				if !again {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	s.Stop()
	mu.Lock()
	defer mu.Unlock()
	refusedAndRun, grantedTwice := 0, 0
	for id, worker := range executed {
		if refused[id] {
			refusedAndRun++
			r.Log("BROKEN: %s was refused, and %s ran it", id, worker)
		}
	}
	for key, g := range grants {
		if len(g) > 1 {
			grantedTwice++
			r.Log("BROKEN: the purchase with key %s was granted by %s as %s and by %s as %s", key, g[0].pod, g[0].id, g[1].pod, g[1].id)
		}
	}
	summary := fmt.Sprintf("%d purchases, answers by status %v, %d answers to calls lost, %d requests refused that ran, %d purchases granted twice", requests, answers, len(lost), refusedAndRun, grantedTwice)
	r.Log("%s", summary)
	fmt.Println(summary)
	if answers[200] == 0 {
		standin.CouldNotRun(r, "purchases", fmt.Errorf("none was served"))
	}
	if refusedAndRun+grantedTwice > 0 {
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
