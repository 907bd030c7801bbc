// Case 3: a Gearman client submits many jobs at once, and the scheduler closes its connection in place of its answers.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"cottonwell/review/standin"
)

const jobs = 540 // what the schedulers of the site get together in one second of a burst

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
	gearman, err := standin.FreeAddress()
	if err != nil {
		standin.CouldNotRun(r, "address", err)
	}
	operator := filepath.Join(temp, "operator.toml")
	text := fmt.Sprintf("[gearman]\nlisten = %q\nconnections = 128\n[[gearman.function]]\nname = \"shop-view\"\nclass = \"shop-view\"\npatience_ms = 5000\ntenant = \"cricket-league\"\n", gearman)
	for i := range 4 {
		text += fmt.Sprintf("[[gearman.worker]]\nid = \"tool-%d\"\nzone = \"colombo-1\"\npod = \"tools-a\"\nkind = \"fast-4\"\n", i)
	}
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		standin.CouldNotRun(r, "operator's file", err)
	}
	discovery, err := standin.StartDiscovery(r, nil)
	if err != nil {
		standin.CouldNotRun(r, "discovery", err)
	}
	s, err := standin.StartScheduler(root, temp, standin.Settings{Name: "n0", Listen: listen, Discovery: discovery.Address, Operator: operator, Fleet: 1, Known: discovery.List()})
	if err != nil {
		standin.CouldNotRun(r, "scheduler", err)
	}
	defer s.Stop()
	if err := s.WaitUp(15 * time.Second); err != nil {
		s.Stop()
		standin.CouldNotRun(r, "scheduler", err)
	}
	var begun atomic.Int64
	for i := range 4 {
		w := &standin.GearmanWorker{ID: fmt.Sprintf("tool-%d", i), Functions: []string{"shop-view"}, Run: func(_, _, _, workload string) string {
			begun.Add(1)
			time.Sleep(100 * time.Millisecond)
			return "view of " + workload
		}}
		if err := standin.StartGearmanWorker(r, gearman, w); err != nil {
			s.Stop()
			standin.CouldNotRun(r, "worker", err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	client, err := standin.DialGearman(gearman)
	if err != nil {
		s.Stop()
		standin.CouldNotRun(r, "client", err)
	}
	created, served, failed, final := 0, 0, 0, map[string]int{}
	var end error
	done := make(chan struct{})
	go func() {
		defer close(done)
		for len(final) < jobs {
			p, err := client.Receive()
			if err != nil {
				end = err
				r.Log("client: the scheduler has ended its connection: %v", err)
				return
			}
			switch p.Type {
			case standin.GmJobCreated:
				created++
			case standin.GmWorkComplete:
				r.Log("client: %s is served", p.Args[0])
				served++
				final[p.Args[0]]++
			case standin.GmWorkFail:
				r.Log("client: %s is failed or refused", p.Args[0])
				failed++
				final[p.Args[0]]++
			case standin.GmError:
				failed++
				final[fmt.Sprint("error ", failed)]++
			case standin.GmWorkWarning: // the reason of a refusal
			default:
				r.Log("client: packet %d %q", p.Type, p.Args)
			}
		}
	}()
	var all bytes.Buffer
	submitted := 0
	for i := range jobs {
		packet := standin.EncodeGearman(standin.GmSubmitJob, "shop-view", "view-"+strconv.Itoa(i), strconv.Itoa(i))
		if trouble {
			all.Write(packet)
			continue
		}
		if _, err := client.Write(packet); err != nil {
			r.Log("client: job %d cannot be written: %v", i, err)
			break
		}
		submitted++
		r.Log("client: submits job %d", i)
		time.Sleep(25 * time.Millisecond)
	}
	if trouble {
		n, err := client.Write(all.Bytes())
		if r.Log("client: %d of %d bytes of %d jobs written: %v", n, all.Len(), jobs, err); err == nil {
			submitted = jobs
		}
	}
	select {
	case <-done:
	case <-time.After(6 * time.Second): // the jobs' deadline is 5 s
	}
	ended := s.Ended()
	select {
	case <-done:
	default:
		_ = client.Close()
		<-done
	}
	time.Sleep(300 * time.Millisecond)
	s.Stop()
	missing := submitted - len(final)
	result := fmt.Sprintf("%d jobs submitted, %d created, %d served, %d failed or refused, %d without a final packet, %d begun by workers", submitted, created, served, failed, missing, begun.Load())
	r.Log("%s; end of the connection: %v", result, end)
	fmt.Println(result)
	switch {
	case ended:
		standin.CouldNotRun(r, "scheduler", fmt.Errorf("it ended: %s", s.ExitState()))
	case submitted == 0:
		standin.CouldNotRun(r, "jobs", fmt.Errorf("none was submitted"))
	case missing > 0:
		r.Log("BROKEN: %d jobs that the scheduler had taken got no final answer", missing)
		r.Close()
		os.Exit(1)
	}
	fmt.Println("held")
}
