package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// asProgram has the test's own binary run as the program.
const asProgram = "COTTONWELL_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func job(id, remaining string) string {
	return fmt.Sprintf("POST /shop-view HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining: %s\r\nContent-Length: 0\r\n\r\n", id, remaining)
}

// Neither a target nor clients that never come to an end keep the program past its time, by the set clock: 3.7 s after
// SIGTERM the platform may kill it, and by then what it took has its answer.
func TestEndsInTimeWhateverOthersDo(t *testing.T) {
	p := startProgram(t, false)
	p.answerWatches()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.listen)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(wait)))
		return c
	}
	taken, half, rest := dial(), dial(), dial()
	_, err := io.WriteString(rest, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(rest), nil)
	require.NoError(t, err)
	_, err = io.WriteString(half, job("1", "9000m")[:40])
	require.NoError(t, err)
	_, err = io.WriteString(taken, job("2", "9000m"))
	require.NoError(t, err)
	accept(t, p.lns["target"]) // and not a word
	p.play("wind now")
	p.until("all three are seen", func() bool { return p.sched.listener.Busy() == 2 })
	p.clock.Advance(3000)
	p.play("wound now")
	p.clock.Advance(400)
	resp, err := http.ReadResponse(bufio.NewReader(taken), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "to try a job of this class again is harmless")
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	p.clock.Advance(299)
	select {
	case <-p.done:
	case <-time.After(wait):
		require.Fail(t, "still running 3.699 s after SIGTERM")
	}
}

// Signals that come again, or that nobody means, neither end the program before its time nor keep it: what it has taken
// is answered, and it ends with 0. This one runs as a process of its own, on the machine's clock.
func TestSignalsThatComeAgain(t *testing.T) {
	list, target := newTestDiscovery(), listenLoopback(t)
	list.endpoints = []testEndpoint{{Name: "s-1", Address: target.Addr().String(), Zone: "colombo-1", Type: "fast-4", Group: 3, Status: "SERVING", Weight: 1}}
	discovery := serveLoopback(t, list.handler("n0"))
	data, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	text := strings.NewReplacer("DISCOVERY", discovery, "5000000", "600000", "7500000", "900000", "TARGETS",
		`{"name":"s-1","address":"`+target.Addr().String()+`","zone":"colombo-1","type":"fast-4","group":3,"status":"SERVING","weight":1.0,"since_ms":0}`).Replace(string(data))
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(os.Args[0], "serve", "--config", file)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	var logs strings.Builder
	listens, ended := make(chan string, 1), make(chan error, 1)
	go func() { // the program takes a port of its own, and tells which
		for lines := bufio.NewScanner(io.TeeReader(stderr, &logs)); lines.Scan(); {
			if _, at, found := strings.Cut(lines.Text(), " listen="); found {
				at, _, _ = strings.Cut(at, " ")
				listens <- at
			}
		}
		ended <- cmd.Wait()
	}()
	var at string
	select {
	case at = <-listens:
	case <-time.After(wait):
		require.Fail(t, "it does not start")
	}
	c, err := net.Dial("tcp", at)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(wait)))
	_, err = io.WriteString(c, job("1", "600m"))
	require.NoError(t, err)
	defer accept(t, target).Close()
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
		require.NoError(t, cmd.Process.Signal(s))
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.GreaterOrEqual(t, resp.StatusCode, 500, "the target said nothing")
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	select {
	case err := <-ended:
		require.NoError(t, err, "%s", &logs)
	case <-time.After(wait):
		require.Fail(t, "it does not end")
	}
	require.Equal(t, 1, strings.Count(logs.String(), "winding down"), "%s", &logs)
}
