// Case 2: the unique of a Gearman job is written unchecked into other messages: line breaks in it become header fields, or a request
// of its own, at a shop worker, and a NUL byte in it shifts the arguments of a Gearman worker's job.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cottonwell/review/standin"
)

func main() {
	root, folder, temp := os.Args[1], os.Args[2], os.Args[3]
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := standin.NewRecord(folder + "/record.txt")
	if err != nil {
		standin.CouldNotRun(nil, "record", err)
	}
	defer r.Close()
	var addresses [2]string
	for i := range addresses {
		if addresses[i], err = standin.FreeAddress(); err != nil {
			standin.CouldNotRun(r, "address", err)
		}
	}
	listen, gearman := addresses[0], addresses[1]
	operator := filepath.Join(temp, "operator.toml")
	text := fmt.Sprintf("[gearman]\nlisten = %q\nconnections = 128\n[[gearman.function]]\nname = \"purchase\"\nclass = \"purchase\"\npatience_ms = 5000\ntenant = \"cricket-league\"\n", gearman) +
		"[[gearman.function]]\nname = \"shop-view\"\nclass = \"shop-view\"\npatience_ms = 5000\ntenant = \"cricket-league\"\n" +
		"[[gearman.worker]]\nid = \"tool-1\"\nzone = \"colombo-1\"\npod = \"tools-a\"\nkind = \"fast-4\"\n"
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		standin.CouldNotRun(r, "operator's file", err)
	}
	var mu sync.Mutex
	var got []standin.Attempt
	check := func(a *standin.Attempt, _ []*standin.Attempt) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, *a)
	}
	// The pod: it grants each key once, and answers a repeat within 7.5 s with the result of the first.
	type grant struct {
		result string
		at     time.Time
	}
	grants := map[string]grant{}
	result := func(a *standin.Attempt) string {
		mu.Lock()
		defer mu.Unlock()
		if g, found := grants[a.Key]; found && time.Since(g.at) < 7500*time.Millisecond {
			r.Log("pod: the key %q of %s (%q) is a repeat, nothing is granted", a.Key, a.ID, a.Body)
			return g.result
		}
		grants[a.Key] = grant{"granted: " + a.Body, time.Now()}
		r.Log("pod: %q granted for key %q", a.Body, a.Key)
		return grants[a.Key].result
	}
	sound := func(*standin.Attempt) (time.Duration, string) { return 60 * time.Millisecond, "done" }
	var list []standin.Endpoint
	for i := range 4 {
		w := &standin.Worker{Name: fmt.Sprintf("s-%d", i), Run: sound, OnAttempt: check, Result: result, CallTo: listen}
		if err := standin.StartWorker(r, w); err != nil {
			standin.CouldNotRun(r, "shop worker", err)
		}
		list = append(list, standin.Endpoint{Name: w.Name, Address: w.Address, Zone: "colombo-1", Type: "slow-4", Group: 1, Status: "SERVING", Weight: 1})
	}
	discovery, err := standin.StartDiscovery(r, list)
	if err != nil {
		standin.CouldNotRun(r, "discovery", err)
	}
	s, err := standin.StartScheduler(root, temp, standin.Settings{Name: "n0", Listen: listen, Discovery: discovery.Address, Operator: operator, Fleet: 1, Known: discovery.List(), ClassKind: []int{0, -1}})
	if err != nil {
		standin.CouldNotRun(r, "scheduler", err)
	}
	defer s.Stop()
	if err := s.WaitUp(15 * time.Second); err != nil {
		s.Stop()
		standin.CouldNotRun(r, "scheduler", err)
	}

	tool := &standin.GearmanWorker{ID: "tool-1", Functions: []string{"shop-view"}, Run: func(_, _, unique, workload string) string {
		r.Log("tool-1: unique %q, workload %q", unique, workload)
		return "view of " + workload
	}}
	if err := standin.StartGearmanWorker(r, gearman, tool); err != nil {
		s.Stop()
		standin.CouldNotRun(r, "worker", err)
	}
	time.Sleep(500 * time.Millisecond)

	// submit submits a job on a connection of its own. It returns the final packet; one of type 0 if none came.
	submit := func(who, function, unique, workload string) standin.Packet {
		c, err := standin.DialGearman(gearman)
		if err != nil {
			s.Stop()
			standin.CouldNotRun(r, "client", err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		r.Log("%s: submits the %s %q, unique %q", who, function, workload, unique)
		if err := c.Send(standin.GmSubmitJob, function, unique, workload); err != nil {
			return standin.Packet{}
		}
		for {
			p, err := c.Receive()
			if err != nil {
				r.Log("%s: %v", who, err)
				return standin.Packet{}
			}
			r.Log("%s: gets packet %d %q", who, p.Type, p.Args)
			if p.Type == standin.GmWorkComplete || p.Type == standin.GmWorkFail || p.Type == standin.GmError {
				return p
			}
		}
	}
	lineEnd := " "
	if trouble {
		lineEnd = "\r\n"
	}
	served, jobs, wrong := 0, 0, 0
	for i := range 10 {
		jobs++
		item := fmt.Sprintf("item %d", i)
		p := submit("client", "purchase", fmt.Sprintf("customer: 7%sorder: %d", lineEnd, i), item)
		if p.Type != standin.GmWorkComplete {
			continue
		}
		served++
		if p.Args[1] != "granted: "+item {
			wrong++
			r.Log("client: the result of the purchase %q is %q", item, p.Args[1])
		}
	}
	views, wrongViews := 0, 0
	for i := range 5 {
		jobs++
		unique, page := fmt.Sprintf("view-%d", i), fmt.Sprintf("page %d\x00of customer 7", i)
		if trouble {
			unique = "-"
		}
		p := submit("client", "shop-view", unique, page)
		if p.Type != standin.GmWorkComplete {
			continue
		}
		views++
		if p.Args[1] != "view of "+page {
			wrongViews++
			r.Log("client: the result of the shop view %q is %q", page, p.Args[1])
		}
	}
	if trouble {
		jobs++
		submit("bad client", "purchase", "x\r\nContent-Length: 0\r\n\r\nPOST /purchase HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: made-up-1\r\nIdempotency-Key: made-up", "item of nobody")
	}
	time.Sleep(500 * time.Millisecond)
	s.Stop()
	mu.Lock()
	defer mu.Unlock()
	foreign := 0
	for _, a := range got {
		r.Log("%s got %s %s, key %q", a.Worker, a.Path, a.ID, a.Key)
		if a.ID == "made-up-1" {
			foreign++
		}
	}
	summary := fmt.Sprintf("%d jobs submitted; %d purchases served, %d of them with the result of another one; %d shop views served, %d of them of another workload; %d requests at shop workers, %d of them of nobody",
		jobs, served, wrong, views, wrongViews, len(got), foreign)
	r.Log("%s", summary)
	fmt.Println(summary)
	if served == 0 || views == 0 {
		standin.CouldNotRun(r, "jobs", fmt.Errorf("none was served"))
	}
	if foreign+wrong+wrongViews > 0 {
		r.Log("BROKEN: %d wrong results, %d requests at shop workers that nobody sent", wrong+wrongViews, foreign)
		r.Close()
		os.Exit(1)
	}
	fmt.Println("held")
}
