// Package discovery reads the list of targets and its changes from the discovery service over HTTP. It is given the
// service's address and a callback. It keeps one watch open per request, and passes each list, each heartbeat and
// each failure to the callbacks. It does not retry by itself and does not store the list.
package discovery

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

const (
	dialTimeout     = 1000.0 // milliseconds
	responseTimeout = 3000.0 // until the first object: discovery queues requests
	// silenceTimeout is the time in milliseconds without data after which a watch counts as dead, though TCP
	// reports no error: an empty line arrives every 2 s. Changes that a silent watch misses count as reported 6 s
	// after it fell silent, and a new watch has to be open by then.
	silenceTimeout = 3500.0
)

// Watcher keeps at most one watch open, and after a change of address also the previous one. It does not retry: it
// reports the failure, and the receiver requests a new watch. The decision module does so with jittered backoff.
type Watcher struct {
	Config
	requests chan struct{}

	mu             sync.Mutex
	addressChanged bool   // Address is new, and no request has gone there yet
	current        *watch // the watch started last, if it has not ended
	previous       *watch // the watch of the previous address, until the new one has responded
}

// Config configures a Watcher.
type Config struct {
	Address string // the first address; SetAddress sets others
	Clock   clock.Clock
	Log     *slog.Logger
	Stack   *httpio.Stack
	// OnList receives every list, and an empty list of scope RequestFailed after each watch that failed or ended.
	OnList func(core.TargetList)
	// OnHeartbeat receives the time of each heartbeat, in milliseconds, on a watch whose first list has arrived.
	// Nil if not needed.
	OnHeartbeat func(readAt float64)
	// OnAddressChange is called when the discovery address changes. Nil if not needed.
	OnAddressChange func()
	// HasList reports whether a list is known at the start, and FromVersion is its version, which may be 0. The
	// watcher then requests only the changes since: the whole list costs discovery work for each line, and after a
	// release all schedulers send their requests at once.
	HasList     bool
	FromVersion uint64
}

// SetAddress changes the discovery address and requests a watch there at once, without waiting for the module's
// next retry. The known targets stay valid until the new address responds. The request is for the whole list:
// versions belong to the service that assigned them, and the new address need not continue those of the old one.
// Until it has responded, changes from the old address are still passed on, as a change counts from when it was
// written. Heartbeats of the old address are not, as its list is no longer authoritative.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.Address {
		return
	}
	w.Address, w.addressChanged = address, true
	if w.current != nil {
		w.current.markReplaced()
	}
	if w.OnAddressChange != nil {
		w.OnAddressChange()
	}
	w.RequestWatch()
}

// RequestWatch requests a watch. It does not block; while one is open it does nothing.
func (w *Watcher) RequestWatch() {
	select {
	case w.requests <- struct{}{}:
	default:
	}
}

// New returns a watcher; Run runs it.
func New(cfg Config) *Watcher {
	return &Watcher{Config: cfg, requests: make(chan struct{}, 1)}
}

// Run runs the requested watches, one after the other, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var watches sync.WaitGroup
	defer watches.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.requests:
		}
		active := w.start(ctx)
		watches.Go(func() {
			defer close(active.ended)
			active.err = active.run()
		})
		select {
		case <-active.ended:
		case <-active.replaced:
		}
		if ctx.Err() != nil {
			return
		}
		w.finish(active)
	}
}

// start creates the next watch.
func (w *Watcher) start(ctx context.Context) *watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addressChanged {
		w.addressChanged, w.HasList, w.FromVersion = false, false, 0
	}
	started := &watch{Watcher: w, address: w.Address, hasList: w.HasList, fromVersion: w.FromVersion, startedAt: w.Clock.Now(), replaced: make(chan struct{}), ended: make(chan struct{})}
	started.ctx, started.cancel = context.WithCancel(ctx)
	w.current = started
	return started
}

// finish handles the end of a watch, or its replacement after a change of address.
func (w *Watcher) finish(ended *watch) {
	w.mu.Lock()
	addressChanged := w.addressChanged
	w.current = nil
	if addressChanged && ended.gotList && w.previous == nil {
		w.previous = ended
	} else {
		ended.cancel()
	}
	w.mu.Unlock()
	if addressChanged {
		w.Log.Info("discovery address changed", "from", ended.address)
		return // SetAddress has already requested a watch
	}
	w.Log.Warn("watch ended", "discovery", ended.address, "index", w.FromVersion, "lasted_ms", w.Clock.Now()-ended.startedAt, "cause", ended.err)
	w.OnList(core.TargetList{Scope: balance.RequestFailed})
}

// streamMonitor passes on a stream of lists and extends the watch as data arrives. The stream is JSON objects in
// any layout, with white space between them. White space is a heartbeat only between objects, and an object only
// once: an object that is not complete before the timeout counts as silence.
type streamMonitor struct {
	r           io.Reader
	now         func() float64
	extend      func() error
	onHeartbeat func()  // called at white space between objects
	inObject    bool    // an object has begun and is not complete
	readAt      float64 // time of the last read with data, in ms
	// objectStartedAt is when the first byte of the latest object was read, in ms. The object describes that time,
	// however long the rest took.
	objectStartedAt float64
	err             error // the last error of the stream
}

func (m *streamMonitor) Read(b []byte) (int, error) {
	n, err := m.r.Read(b)
	if n > 0 {
		m.readAt = m.now()
	}
	if n > 0 && !m.inObject && err == nil {
		if m.inObject = len(bytes.TrimSpace(b[:n])) > 0; m.inObject {
			m.objectStartedAt = m.readAt
		} else {
			m.onHeartbeat()
		}
		err = m.extend()
	}
	m.err = err
	return n, err
}

// endObject records that an object is complete, and whether the next one has begun.
func (m *streamMonitor) endObject(nextBegun bool) error {
	if m.inObject = nextBegun; nextBegun {
		m.objectStartedAt = m.readAt
	}
	return m.extend()
}
