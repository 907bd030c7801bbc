package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

// Failure (review case 6, and reported by operators of other deployments): a client left while its request ran and came again with
// the same key or ID; the request ran a second time, at another pod. The harness has a pod for each target.
func TestClientThatComesAgain(t *testing.T) {
	const window = 7500.0 // of class k, milliseconds
	same, other := Request{ID: "1", Job: Job{Key: "a"}}, Request{ID: "2", Job: Job{Key: "a"}}
	for name, c := range map[string]struct {
		class         string
		first, second Request
		end           func(h *harness) // what becomes of the first flow before the client leaves
		after         float64          // milliseconds
		want          string
	}{
		"id again, safe":                           {"c", same, same, nil, 40, "failed"},
		"id again, keyed":                          {"k", same, same, nil, 40, "failed"},
		"id again, after it was served":            {"c", same, same, endWith(balance.OK), 40, "failed"},
		"id again, though it never ran":            {"c", same, same, endWith(balance.NoConnection), 40, "any pod"},
		"id again, long after":                     {"c", same, same, endWith(balance.OK), 30_000, "any pod"},
		"key again, safe":                          {"c", same, other, nil, 40, "any pod"},
		"key again":                                {"k", same, other, nil, 40, "same pod"},
		"key again, after it was served":           {"k", same, other, endWith(balance.OK), 40, "same pod"},
		"key again, though it never ran":           {"k", same, other, endWith(balance.NoConnection), 40, "any pod"},
		"key again, once the pod has forgotten it": {"k", same, other, nil, window, "failed"},
		"another key":                              {"k", same, Request{ID: "2", Job: Job{Key: "b"}}, nil, 40, "any pod"},
		"unsafe job again":                         {"u", Request{ID: "1", RepeatKey: "a"}, Request{ID: "2", RepeatKey: "a"}, nil, 40, "failed"},
		"unsafe job again, after it was done":      {"u", Request{ID: "1", RepeatKey: "a"}, Request{ID: "2", RepeatKey: "a"}, endWith(balance.OK), 40, "any pod"},
		"unsafe request without a key":             {"u", Request{ID: "1"}, Request{ID: "2"}, nil, 40, "any pod"},
	} {
		t.Run(name, func(t *testing.T) {
			pods := map[string]bool{}
			for seed := range uint64(40) { // the module draws targets at random
				h := newSeededHarness(t, 4, seed)
				first := h.submit(c.first, c.class)
				if c.end != nil {
					c.end(h)
				}
				h.apply(clientLeftEvent{first})
				h.endAll(balance.Cancelled)
				firstPod := h.started[0].Target
				h.advance(c.after)
				started, answered := len(h.started), len(h.answers)
				h.submit(c.second, c.class)
				if c.want == "failed" {
					require.Len(t, h.started, started)
					require.Len(t, h.answers, answered+1)
					require.Equal(t, Failed, h.answers[answered].Kind)
					continue
				}
				require.Len(t, h.started, started+1, "not sent")
				pods[fmt.Sprint(h.started[started].Target == firstPod)] = true
			}
			switch c.want {
			case "same pod":
				require.Equal(t, map[string]bool{"true": true}, pods)
			case "any pod":
				require.Contains(t, pods, "false")
			}
		})
	}
}

// newSeededHarness returns a harness whose module draws from a seed, with a class u that must not be repeated.
func newSeededHarness(t *testing.T, targets int, seed uint64) *harness {
	h := newHarness(t, targets)
	cfg := h.core.cfg
	cfg.Seed = seed
	cfg.Settings.Classes = append(cfg.Settings.Classes, balance.Class{Name: "u", Effect: balance.Unsafe, LatencyTarget: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Value: 1})
	known := TargetList{Scope: balance.FromDisk}
	for _, target := range h.core.sources["test"].targets {
		known.Targets = append(known.Targets, target)
	}
	var err error
	h.core, err = New(cfg, Source{Name: "test", Transport: h})
	require.NoError(t, err)
	h.apply(listEvent{"test", known})
	return h
}

// submit accepts a request of a class and returns it.
func (h *harness) submit(request Request, class string) *Request {
	request.Class, request.ClientTimeoutMS, request.Slots, request.Receiver = class, 5000, 1, h
	h.apply(acceptEvent{&request, h.clock.Now()})
	return &request
}

// endAll ends all attempts that are outstanding.
func (h *harness) endAll(result balance.Result) {
	for _, a := range h.started {
		h.apply(outcomeEvent{Outcome{AttemptRef: a.AttemptRef, Result: result}})
	}
}

// endWith returns a step that ends the first attempt. If it never ran, the next ones end the same way.
func endWith(result balance.Result) func(h *harness) {
	return func(h *harness) {
		for i := 0; i < len(h.started); i++ {
			h.apply(outcomeEvent{Outcome{AttemptRef: h.started[i].AttemptRef, Result: result}})
		}
	}
}

// While a request with a key may still start an attempt, another one with that key is refused: it is not known yet which pod will
// run it.
func TestKeyOfAWaitingRequest(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(Request{ID: "1", Job: Job{Key: "a"}}, "k")
	h.submit(Request{ID: "2", Job: Job{Key: "a"}}, "k")
	require.Equal(t, []Response{{Kind: Refused, RetryAfter: 1000, Reason: keyTaken}}, h.answers)
	h.endAll(balance.OK)
	h.submit(Request{ID: "3", Job: Job{Key: "a"}}, "k")
	require.Len(t, h.started, 2)
	h.endAll(balance.OK)
	require.Empty(t, h.core.flowsByKey)
}

// The memory is bounded. At the bound the oldest are forgotten, and what has expired goes with the next attempt.
func TestRepeatMemoryIsBounded(t *testing.T) {
	m := newRepeatMemory()
	for i := range 3 * maxRemembered {
		m.add(0, idKey(fmt.Sprint(i)), earlierRun{forgetAt: 10})
	}
	require.Len(t, m.runs, maxRemembered)
	require.Nil(t, m.find(0, idKey("0")))
	require.NotNil(t, m.find(0, idKey(fmt.Sprint(3*maxRemembered-1))))
	m.add(11, idKey("x"), earlierRun{forgetAt: 20})
	require.Len(t, m.runs, 1)
	require.Len(t, m.order, 1)
}
