// Package handover connects two processes of one scheduler, the old and the new version, while they run side by
// side. Each process has a Unix socket in a common directory, and finds the others there. Over it a process
// forwards targets' callbacks about jobs that the other one holds, announces targets under maintenance, and
// reports whether it accepts clients. The messages are HTTP with JSON bodies. The package neither starts nor stops
// a process, and does not retry a message.
package handover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"cottonwell/internal/core"
)

const (
	messageTimeout = 300 * time.Millisecond // for a message to another process and its response
	maxMessages    = 64                     // messages in flight; further ones are dropped
	maxBody        = 1 << 20                // bytes
	ownerOnly      = 0o600
	maxPath        = 100 // bytes; the system's limit for a socket path, less a few
)

// Process is the part of this process on which the messages of another one act.
type Process interface {
	Ready() bool
	ReceiveCallback(core.TargetCallback)
	// Maintain sets a target offline or online.
	Maintain(target string, offline bool)
	// Maintained returns the targets that are offline.
	Maintained() []string
	// FleetRole reports whether this process acts for the scheduler in the fleet.
	FleetRole() FleetRole
	// TakeOverGearman starts to accept Gearman connections, and reports whether this process does.
	TakeOverGearman() bool
	// ReceiveDatagram takes a datagram of the fleet that arrived at another process.
	ReceiveDatagram(Datagram)
}

// FleetRole is the part of a process in the fleet.
type FleetRole string

// The roles. At most one process of a scheduler is active. A passive one will not become active while another is.
const (
	Active  FleetRole = "active"
	Passive FleetRole = "passive"
)

// Datagram is a datagram that another scheduler sent to this one.
type Datagram struct {
	Sender int    `json:"sender"` // the number of the scheduler
	Raw    []byte `json:"raw"`
}

// Counts are the counters of a link, for the log.
type Counts struct{ Forwarded, Dropped atomic.Int64 }

// Link is a process's own socket, and its connection to the other processes of the scheduler.
type Link struct {
	Counts   Counts
	process  Process
	log      *slog.Logger
	pattern  string // of the sockets of all processes
	path     string // of this process's socket
	listener net.Listener
	inFlight chan struct{} // holds one entry for each message in flight
}

// maintenance is the message about a target.
type maintenance struct {
	Target  string `json:"target"`
	Offline bool   `json:"offline"`
}

// Open listens on a socket of this process in a directory. The file name identifies the scheduler by its name and
// its clients' address, so that other schedulers of the same name may use the same directory.
func Open(dir, name, listen string, p Process, log *slog.Logger) (*Link, error) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name + "@" + listen))
	prefix := filepath.Join(dir, fmt.Sprintf("cottonwell-%x", hash.Sum64()))
	l := &Link{process: p, log: log, pattern: prefix + "-*.sock", inFlight: make(chan struct{}, maxMessages),
		path: fmt.Sprintf("%s-%d.sock", prefix, os.Getpid())}
	if len(l.path) > maxPath {
		return nil, fmt.Errorf("handover: the path %s is longer than %d bytes", l.path, maxPath)
	}
	var err error
	if l.listener, err = listenAt(l.path); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}

// listenAt listens on a path. The path appears only once the socket accepts connections: other processes remove
// sockets that refuse them.
func listenAt(path string) (net.Listener, error) {
	temporary := path + ".new"
	for _, stale := range []string{temporary, path} { // left by an earlier process with the same process ID
		if err := os.Remove(stale); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, ownerOnly), os.Rename(temporary, path)); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Serve handles the messages of other processes until ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !l.process.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /maintained", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(l.process.Maintained())
	})
	mux.HandleFunc("POST /maintained", func(w http.ResponseWriter, r *http.Request) {
		var m maintenance
		if decodeBody(w, r, &m) {
			l.process.Maintain(m.Target, m.Offline)
		}
	})
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(l.process.FleetRole())
	})
	mux.HandleFunc("POST /gearman", func(w http.ResponseWriter, _ *http.Request) {
		if !l.process.TakeOverGearman() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /datagram", func(w http.ResponseWriter, r *http.Request) {
		var d Datagram
		if decodeBody(w, r, &d) {
			l.process.ReceiveDatagram(d)
		}
	})
	mux.HandleFunc("POST /news", func(w http.ResponseWriter, r *http.Request) {
		var n core.TargetCallback
		if decodeBody(w, r, &n) {
			n.PassedOn = true
			l.process.ReceiveCallback(n)
		}
	})
	server := &http.Server{Handler: mux, ReadTimeout: messageTimeout, WriteTimeout: 2 * messageTimeout,
		ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false)
	defer os.Remove(l.path)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// otherSockets returns the sockets of the scheduler's other processes.
func (l *Link) otherSockets() (paths []string) {
	found, _ := filepath.Glob(l.pattern)
	for _, path := range found {
		if path != l.path {
			paths = append(paths, path)
		}
	}
	return paths
}

// Forward forwards a target's callback about a job that is unknown here to the other processes. It does not block.
func (l *Link) Forward(n core.TargetCallback) { l.send("/news", n) }

// Maintain announces to the other processes that a target is offline or online. It does not block.
func (l *Link) Maintain(target string, offline bool) {
	l.send("/maintained", maintenance{target, offline})
}

// ForwardDatagram forwards a datagram of the fleet to the other processes, one of which may be active. It does not block.
func (l *Link) ForwardDatagram(d Datagram) { l.send("/datagram", d) }

// TakeOverGearman requests another process to accept Gearman connections, and reports whether one does.
func (l *Link) TakeOverGearman() bool {
	for _, socket := range l.otherSockets() {
		if ok, err := request(socket, http.MethodPost, "/gearman", nil, nil); ok && err == nil {
			return true
		}
	}
	return false
}

// OthersPassive reports whether each other process of the scheduler is known to be passive in the fleet or to have ended.
// Silence proves nothing, and neither does the response of a version that has no such roles.
func (l *Link) OthersPassive() bool {
	for _, socket := range l.otherSockets() {
		var role FleetRole
		ok, err := request(socket, http.MethodGet, "/fleet", nil, &role)
		ended := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist)
		if !ended && (err != nil || !ok || role != Passive) {
			return false
		}
	}
	return true
}

// send sends a message to all other processes from a new goroutine, as finding them reads a directory.
func (l *Link) send(path string, message any) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.Counts.Dropped.Add(1)
		return
	}
	go func() {
		defer func() { <-l.inFlight }()
		for _, socket := range l.otherSockets() {
			l.sendTo(socket, path, message)
		}
	}()
}

func (l *Link) sendTo(socket, path string, message any) {
	body, err := json.Marshal(message)
	if err == nil {
		_, err = request(socket, http.MethodPost, path, body, nil)
	}
	if err != nil {
		l.log.Debug("handover", "word", path, "to", socket, "cause", err)
		return
	}
	l.Counts.Forwarded.Add(1)
}

// OtherReady reports whether another process accepts clients.
func (l *Link) OtherReady() bool {
	for _, socket := range l.otherSockets() {
		if ok, err := request(socket, http.MethodGet, "/ready", nil, nil); ok && err == nil {
			return true
		}
	}
	return false
}

// Inherited returns the targets that are offline at other processes.
func (l *Link) Inherited() (targets []string) {
	for _, socket := range l.otherSockets() {
		var theirs []string
		if _, err := request(socket, http.MethodGet, "/maintained", nil, &theirs); err != nil {
			l.log.Debug("handover", "from", socket, "cause", err)
		}
		targets = append(targets, theirs...)
	}
	return targets
}

// request sends one message and reports whether the response has status 200. It removes a socket that refuses
// connections.
func request(socket, method, path string, body []byte, value any) (ok bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://handover"+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}
	resp, err := transport.RoundTrip(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(socket)
	}
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if value != nil {
		err = json.NewDecoder(resp.Body).Decode(value)
	}
	return resp.StatusCode == http.StatusOK, err
}
