package gearman

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cottonwell/balance"
	"cottonwell/internal/buffer"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
)

// ignoringScheduler accepts everything and does nothing.
type ignoringScheduler struct{}

func (ignoringScheduler) Accept(*core.Request) core.Ticket      { return core.Ticket{} }
func (ignoringScheduler) AttemptEnded(core.Outcome)             {}
func (ignoringScheduler) ReceiveCallback(core.TargetCallback)   {}
func (ignoringScheduler) UpdateTargets(string, core.TargetList) {}
func (ignoringScheduler) ProbeEnded(core.ProbeResult)           {}

// A job that is not kept is not answered JOB_CREATED, unless its client waits and gets its final packet at once.
func TestSubmissionsThatAreNotKept(t *testing.T) {
	const memoryLimit = 128 << 10
	large, small := strings.Repeat("x", buffer.MaxBody+1), "x"
	for name, c := range map[string]struct {
		kind     Type
		workload string
		prepare  func(*Server)
		want     []Type
		code     string
	}{
		"background, kept":         {SubmitJobBG, small, func(*Server) {}, []Type{JobCreated}, ""},
		"background, too large":    {SubmitJobBG, large, func(*Server) {}, []Type{Error}, "too_large"},
		"foreground, too large":    {SubmitJob, large, func(*Server) {}, []Type{Error}, "too_large"},
		"background, no memory":    {SubmitJobLowBG, large[:buffer.MaxBody], func(*Server) {}, []Type{Error}, "queue_full"},
		"foreground, no memory":    {SubmitJob, large[:buffer.MaxBody], func(*Server) {}, []Type{JobCreated, WorkWarning, WorkFail}, ""},
		"background, program ends": {SubmitJobHighBG, small, (*Server).RefuseBackground, []Type{Error}, "shutting_down"},
		"foreground, program ends": {SubmitJob, small, (*Server).RefuseBackground, []Type{JobCreated}, ""},
		"foreground, at the end":   {SubmitJob, small, (*Server).StartShutdown, []Type{Error}, "shutting_down"},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{Functions: []Function{{Name: "buy", Class: "purchase", Effect: balance.Keyed}}}, "n0", ignoringScheduler{}, clock.NewManual(1),
				slog.New(slog.NewTextHandler(io.Discard, nil)), buffer.NewPool(), memoryLimit)
			near, far := net.Pipe()
			client := &conn{Conn: near, writerDone: make(chan struct{})}
			client.outbox = newOutbox(s.memory, func() {})
			go s.writeOutbox(client)
			c.prepare(s)
			require.NoError(t, s.submit(client, Packet{c.kind, []string{"buy", "key-1", c.workload}}))
			responses := bufio.NewReader(far)
			for _, want := range c.want {
				header := make([]byte, headerLen)
				_, err := io.ReadFull(responses, header)
				require.NoError(t, err)
				require.Equal(t, byte(want), header[7])
				text := make([]byte, int(header[10])<<8|int(header[11]))
				_, err = io.ReadFull(responses, text)
				require.NoError(t, err)
				if want == Error {
					require.Equal(t, c.code, strings.Split(string(text), "\x00")[0])
				}
			}
			client.outbox.close()
			<-client.writerDone
			require.Equal(t, len(c.want) == 1 && c.want[0] == JobCreated, s.OpenJobs() == 1)
		})
	}
}

// Each job in the retry queue becomes due once, in the order of the times, no sooner than the retry-after and the smallest
// pause, and no later than the largest pause with its jitter.
func TestRetryQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := newRetryQueue(rapid.String().Draw(t, "seed")), 1000.0
		addedAt, earliest := map[*job]float64{}, map[*job]float64{}
		last := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"add", "wait", "remove"}).Draw(t, "step") {
			case "add":
				j, retryAfter := &job{}, rapid.Float64Range(0, 9000).Draw(t, "retry-after")
				q.add(now, j, retryAfter, rapid.IntRange(1, 9).Draw(t, "tries"))
				addedAt[j], earliest[j] = now, now+max(minRetryDelayMS, min(retryAfter, maxRetryDelayMS))
			case "wait":
				if at, ok := q.next(); ok {
					now = max(now, at)
				}
				for _, j := range q.takeDue(now) {
					require.Contains(t, addedAt, j)
					require.GreaterOrEqual(t, now, earliest[j])
					require.GreaterOrEqual(t, now, last)
					require.LessOrEqual(t, now, addedAt[j]+maxRetryDelayMS*(1+retryJitter))
					delete(addedAt, j)
					last = now
				}
			case "remove":
				for j := range addedAt {
					require.True(t, q.remove(j))
					require.False(t, q.remove(j))
					delete(addedAt, j)
					break
				}
			}
			require.Len(t, q.entries, len(addedAt))
		}
		q.makeAllDue(now)
		require.Len(t, q.takeDue(now), len(addedAt))
	})
}
