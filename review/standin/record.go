// Package standin holds the stand-ins of the review's cases: discovery, shop workers, clients, a proxy between shop
// workers and a scheduler, and the start of schedulers as processes. They follow the operators' pages.
package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one line each, with the milliseconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Now returns the milliseconds since the start of the record.
func (r *Record) Now() float64 { return float64(time.Since(r.start).Microseconds()) / 1000 }

// Log writes one line.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.1f  %s\n", r.Now(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// FreeAddress returns a free address on 127.0.0.1.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// CouldNotRun ends the program with the exit status of a case that could not run.
func CouldNotRun(r *Record, what string, err error) {
	text := fmt.Sprintf("COULD NOT RUN: %s: %v", what, err)
	if r != nil {
		r.Log("%s", text)
	}
	fmt.Println(text)
	os.Exit(2)
}
