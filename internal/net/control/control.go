// Package control is the address at which operators call a scheduler: whether it takes clients, maintenance of targets, and
// taking the scheduler out of service and back. It is HTTP/1.1 with one call for each connection; 2xx means yes, 4xx and
// 5xx mean no.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path"
	"time"
)

const (
	answerWithin = 800 * time.Millisecond // an answer is due after 1 s
	readWithin   = 800 * time.Millisecond // for the whole call, from its connecting
	writeWithin  = time.Second
	headMost     = 8 << 10 // bytes
	callersMost  = 32      // at once; further ones wait until one of these has ended, or is too slow
)

// Scheduler is what the calls act on. Each of its methods may wait, for as long as the call has time.
type Scheduler interface {
	// Ready says whether it takes clients.
	Ready() bool
	// Offline has nothing more sent to a target. It says whether there is one of that name.
	Offline(target string) bool
	// Online has a target used again. It says whether there is one of that name.
	Online(target string) bool
	// OutOfService empties the scheduler, InService brings it back.
	OutOfService()
	InService()
}

// Server answers operators' calls.
type Server struct {
	scheduler Scheduler
	log       *slog.Logger
}

// New returns a server of calls about a scheduler.
func New(s Scheduler, log *slog.Logger) *Server { return &Server{s, log} }

// Serve answers calls at a listener until ctx ends, and closes it.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           http.TimeoutHandler(asWritten(s.calls()), answerWithin, "no answer in time\n"),
		ReadTimeout:       readWithin,
		ReadHeaderTimeout: readWithin,
		WriteTimeout:      readWithin + writeWithin,
		MaxHeaderBytes:    headMost,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(newLimited(ln, callersMost)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control address: %w", err)
	}
	return nil
}

func (s *Server) calls() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.scheduler.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		answer(w)
	})
	mux.HandleFunc("POST /control/shop-workers/{target}/offline", s.onTarget("offline", s.scheduler.Offline))
	mux.HandleFunc("POST /control/shop-workers/{target}/online", s.onTarget("online", s.scheduler.Online))
	mux.HandleFunc("POST /control/out-of-service", s.onScheduler("out of service", s.scheduler.OutOfService))
	mux.HandleFunc("POST /control/in-service", s.onScheduler("in service", s.scheduler.InService))
	return mux
}

// asWritten has a path that is not in its shortest form be unknown; the multiplexer would send the caller elsewhere.
func asWritten(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Clean(r.URL.Path) != r.URL.Path {
			http.NotFound(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// onTarget is a call about the target that its path names.
func (s *Server) onTarget(what string, call func(target string) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		target := r.PathValue("target")
		known := call(target)
		s.log.Info("operator's call", "call", what, "target", target, "known", known)
		if !known {
			http.Error(w, "no such target", http.StatusNotFound)
			return
		}
		answer(w)
	}
}

// onScheduler is a call about the scheduler itself.
func (s *Server) onScheduler(what string, call func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		call()
		s.log.Info("operator's call", "call", what)
		answer(w)
	}
}

func answer(w http.ResponseWriter) { _, _ = w.Write([]byte("yes\n")) }
