// Command standin2 plays the cases of the second review: it starts schedulers with the command of the deploy file, and the
// stand-ins of clients, workers and discovery beside them, on loopback addresses.
//
// usage: standin2 CASE ROOT FOLDER
//
// It writes record.txt to FOLDER, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it plays the case without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun is less than the 120 s that a case may take.
const longestRun = 110 * time.Second

// trouble is whether the case's disruption is played.
var trouble = os.Getenv("TROUBLE") != "0"

// cases are the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(s *shop, rec *record) []string{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) (code int) {
	var rec *record
	var s *shop
	defer func() {
		if cause := recover(); cause != nil {
			a, ok := cause.(abort)
			if !ok {
				a.reason = fmt.Sprint(cause)
			}
			fmt.Println("case", name, "could not run:", a.reason)
			if rec != nil {
				rec.line("could not run: %s", a.reason)
			}
			code = 2
		}
		if s != nil {
			s.close()
		}
	}()
	rec = newRecord(folder)
	s = newShop(root, rec)
	rec.line("case %s, trouble=%v", name, trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { // no case runs longer, and a signal ends one with all that it started
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		rec.line("ended early")
		s.close()
		os.Exit(2)
	}()
	breaks := cases[name](s, rec)
	for _, p := range s.processes {
		if p.ended() {
			rec.line("note: scheduler %s had ended", p.name)
		}
	}
	for _, b := range breaks {
		rec.line("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	rec.line("%d breaks", len(breaks))
	fmt.Printf("case %s, trouble=%v: %d breaks\n", name, trouble, len(breaks))
	if len(breaks) > 0 {
		return 1
	}
	return 0
}
