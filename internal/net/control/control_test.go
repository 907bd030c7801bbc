package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answerDue is when the platform wants the answer to a call.
const answerDue = time.Second

// scheduler writes down what it is asked to do; it has the target s-1.
type scheduler struct {
	mu    sync.Mutex
	ready bool
	calls []string
	hangs chan struct{} // calls about targets wait for it, if it is there
}

func (s *scheduler) note(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}

func (s *scheduler) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (s *scheduler) Offline(target string) bool {
	if s.hangs != nil {
		<-s.hangs
	}
	s.note("offline " + target)
	return target == "s-1"
}

func (s *scheduler) Online(target string) bool {
	s.note("online " + target)
	return target == "s-1"
}

func (s *scheduler) OutOfService() { s.note("out") }
func (s *scheduler) InService()    { s.note("in") }

func start(t *testing.T, s *scheduler) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- New(s, slog.New(slog.NewTextHandler(io.Discard, nil))).Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	return ln.Addr().String()
}

// ask makes a call and returns the status of its answer, which has to come in time on a connection that then ends.
func ask(t *testing.T, address, method, path string) int {
	t.Helper()
	status, took, err := try(t, address, method, path)
	require.NoError(t, err)
	require.Less(t, took, answerDue)
	return status
}

// try makes a call and returns the status of its answer and how long it took.
func try(t *testing.T, address, method, path string) (status int, took time.Duration, err error) {
	t.Helper()
	begun := time.Now()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(begun.Add(8*time.Second)))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, path)
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	if err == nil {
		_, err = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	}
	return status, time.Since(begun), err
}

func TestCalls(t *testing.T) {
	s := &scheduler{}
	at := start(t, s)
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/control/ready", http.StatusServiceUnavailable},
		{"POST", "/control/shop-workers/s-1/offline", http.StatusOK},
		{"POST", "/control/shop-workers/s-1/online", http.StatusOK},
		{"POST", "/control/shop-workers/s%2D1/online", http.StatusOK},
		{"POST", "/control/shop-workers/s-9/offline", http.StatusNotFound},
		{"POST", "/control/shop-workers/s-9/online", http.StatusNotFound},
		{"POST", "/control/shop-workers//online", http.StatusNotFound},
		{"POST", "/control/out-of-service", http.StatusOK},
		{"POST", "/control/in-service", http.StatusOK},
		{"GET", "/control/in-service", http.StatusMethodNotAllowed},
		{"POST", "/control/ready", http.StatusMethodNotAllowed},
		{"GET", "/nothing", http.StatusNotFound},
	} {
		require.Equal(t, c.want, ask(t, at, c.method, c.path), "%s %s", c.method, c.path)
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	require.Equal(t, http.StatusOK, ask(t, at, "GET", "/control/ready"))
	require.Equal(t, []string{"offline s-1", "online s-1", "online s-1", "offline s-9", "online s-9", "out", "in"}, s.calls)
}

// Callers that send nothing, half a call or too much keep nobody else's answer waiting, however many they are.
func TestSilentCallersKeepNobodyWaiting(t *testing.T) {
	s := &scheduler{ready: true}
	at := start(t, s)
	for i := range 2 * callersMost / 3 {
		c, err := net.Dial("tcp", at)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, []string{"", "GET /control/re", "POST /control/out-of-service HTTP/1.1\r\nHost: x\r\n", "GET /" + strings.Repeat("x", 2*headMost)}[i%4])
		require.NoError(t, err)
	}
	for range 20 {
		require.Equal(t, http.StatusOK, ask(t, at, "GET", "/control/ready"))
	}
	for range 2 * callersMost { // more than there is room for: these end soon, and then there is
		c, err := net.Dial("tcp", at)
		require.NoError(t, err)
		defer c.Close()
	}
	require.Eventually(t, func() bool {
		status, took, err := try(t, at, "GET", "/control/ready")
		return err == nil && status == http.StatusOK && took < answerDue
	}, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.calls, "a half call does nothing")
}

// A scheduler that does not answer in time is answered for: no.
func TestNoAnswerInTimeIsNo(t *testing.T) {
	s := &scheduler{hangs: make(chan struct{})}
	at := start(t, s)
	require.Equal(t, http.StatusServiceUnavailable, ask(t, at, "POST", "/control/shop-workers/s-1/offline"))
	close(s.hangs)
}
