// Package discovery keeps a watch on the list of targets.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

const (
	dialFor  = 1000.0 // milliseconds
	firstFor = 3000.0 // until the first object: calls wait in turn there
	// An empty line comes every 2 s, so by then the watch is dead though TCP does not say so. What a silent watch
	// misses counts as told 6 s after it fell silent, and a new one has to be open by then.
	quietFor = 3500.0
)

// Watcher holds at most one watch open. It does not try again by itself: it tells of
// the failure, and whoever listens asks anew when it sees fit. (The decision module
// does so with a jittered backoff that doubles.)
type Watcher struct {
	Config
	asked chan struct{}
	heard chan struct{} // closed at the first sign of life
	first sync.Once

	mu     sync.Mutex
	moved  bool               // Address is new, and nobody has been asked there yet
	cancel context.CancelFunc // ends the watch that is open, or nil
}

// Config is what a watcher is made from.
type Config struct {
	Address string // the first one; Move names others
	Clock   clock.Clock
	Log     *slog.Logger
	Stack   *httpio.Stack
	// Tell receives every list, and an AskFailed after each watch that failed or ended.
	Tell func(core.Group)
	// SignOfLife receives when one was read on a watch whose first list has come. Nil: nobody wants to know.
	SignOfLife func(readAt float64)
	// Held says that a list is held at the start, and From is its version, which may be 0. Only what
	// changed since is asked for then: the whole list costs discovery work for each line, and after
	// a release all schedulers ask at once.
	Held bool
	From uint64
}

// Move goes to another address and asks there at once, without waiting for the module's
// next try. What is known of the targets holds until the new address answers. It is asked
// for the whole list: versions are counted by whoever gave them, and nobody says that the
// new address counts on from the old one's.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.Address {
		return
	}
	w.Address, w.moved = address, true
	if w.cancel != nil {
		w.cancel()
	}
	w.Watch()
}

// begin says where the next watch goes and from which version on. The context it returns
// ends when the watcher moves.
func (w *Watcher) begin(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved {
		w.moved, w.Held, w.From = false, false, 0
	}
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.Address
}

// end says whether the watch ended because the watcher moves.
func (w *Watcher) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.cancel = nil
	return w.moved
}

// Watch asks for a watch. It does not block; while one is open it does nothing.
func (w *Watcher) Watch() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// New makes a watcher ready.
func New(cfg Config) *Watcher {
	return &Watcher{Config: cfg, asked: make(chan struct{}, 1), heard: make(chan struct{})}
}

// Heard returns a channel that is closed once discovery has said anything on a watch.
func (w *Watcher) Heard() <-chan struct{} { return w.heard }

// Run holds the watches that are asked for, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.asked:
		}
		inner, address := w.begin(ctx)
		asked := w.Clock.Now()
		err := w.once(inner, address)
		moves := w.end()
		if ctx.Err() != nil {
			return
		}
		if moves {
			w.Log.Info("watch moves", "from", address)
			continue // Move has asked already
		}
		w.Log.Warn("watch ended", "discovery", address, "index", w.From, "lasted_ms", w.Clock.Now()-asked, "cause", err)
		w.Tell(core.Group{Scope: balance.AskFailed})
	}
}

// once holds one watch until it ends, and says why it did.
func (w *Watcher) once(ctx context.Context, address string) error {
	if address == "" {
		return errors.New("no address")
	}
	d := net.Dialer{Timeout: clock.Duration(dialFor)}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := w.Stack.Wrap(nc)
	path := "/discovery/hosts?watch=1"
	if w.Held {
		path += "&from=" + strconv.FormatUint(w.From, 10)
	}
	buf := c.Buffer()
	defer c.Done(buf)
	if _, err := c.Send(httpio.Start(buf, "GET ", path, " HTTP/1.1").Field("Host", address), nil, w.Clock.Deadline(dialFor)); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	resp, err := c.Stream("GET", w.Clock.Deadline(firstFor))
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("answer: status %d", resp.StatusCode)
	}
	w.Log.Info("watch open", "discovery", address, "held", w.Held, "from", w.From)
	beat := &pulse{r: resp.Body, now: w.Clock.Now, alive: func() error {
		c.Grant()
		return c.SetReadDeadline(w.Clock.Deadline(quietFor))
	}}
	if err := beat.alive(); err != nil {
		return err
	}
	listed := false // before the first list, a sign of life says nothing of what the list has missed
	beat.beats = func() {
		w.first.Do(func() { close(w.heard) })
		if listed && w.SignOfLife != nil {
			w.SignOfLife(beat.readAt)
		}
	}
	for lists := json.NewDecoder(beat); ; {
		var l List
		if err := lists.Decode(&l); err != nil {
			if errors.Is(err, io.EOF) {
				return errors.New("the stream ended")
			}
			if beat.failed == nil {
				// What this object changed is lost: only the whole list can mend that.
				w.Held, w.From = false, 0
				return fmt.Errorf("a list that cannot be read: %w", err)
			}
			return err // the stream's: what has come of a list is nothing, and is told again
		}
		begunAt := beat.begunAt
		ahead, _ := io.ReadAll(lists.Buffered())
		if err := beat.whole(len(bytes.TrimSpace(ahead)) > 0); err != nil {
			return err
		}
		g, err := l.TargetGroup()
		if err != nil {
			w.Log.Warn("list entry passed over", "cause", err)
		}
		w.Held, w.From = true, l.Index
		w.Log.Info("list", "index", l.Index, "whole", l.Snapshot, "targets", len(l.Endpoints))
		g.ReadAt = begunAt
		w.Tell(g)
		w.first.Do(func() { close(w.heard) })
		listed = true
	}
}

// pulse passes on a stream of lists, one JSON object after the other in any layout, with white space between, and
// keeps the watch alive as it comes. White space is a sign of life only between objects, and an object only once: one
// that does not come whole in time is as good as silence.
type pulse struct {
	r      io.Reader
	now    func() float64
	alive  func() error
	beats  func()  // called at a sign of life that is no list
	within bool    // an object has begun
	readAt float64 // when anything was read last, in ms
	// begunAt is when the first byte of the latest object was read, in ms: what it says was true then, however long the
	// rest took.
	begunAt float64
	failed  error // of the stream
}

func (p *pulse) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.readAt = p.now()
	}
	if n > 0 && !p.within && err == nil {
		if p.within = len(bytes.TrimSpace(b[:n])) > 0; p.within {
			p.begunAt = p.readAt
		} else {
			p.beats()
		}
		err = p.alive()
	}
	p.failed = err
	return n, err
}

// whole notes that an object has come whole, and whether the next one has begun.
func (p *pulse) whole(begun bool) error {
	if p.within = begun; begun {
		p.begunAt = p.readAt
	}
	return p.alive()
}
