package core

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

func (h *harness) callBack(callback TargetCallback) { h.apply(targetUpdateEvent{callback}) }

func (h *harness) reportStart(a Attempt) {
	h.callBack(TargetCallback{ID: a.ID, From: a.Target, Progress: &Progress{Started: true}})
}

func (h *harness) reportEnd(a Attempt, result balance.Result) {
	h.callBack(TargetCallback{ID: a.ID, From: a.Target, Result: result})
}

// secondAttemptAt starts an attempt at the only target that ends as given, and a second one at the same target.
func secondAttemptAt(t *testing.T, class string, endFirst func(h *harness, first Attempt)) (*harness, Attempt) {
	h := newHarness(t, 1)
	h.accept("x", class)
	endFirst(h, h.started[0])
	for range 20 {
		h.advance(10)
	}
	require.Len(t, h.started, 2)
	require.Empty(t, h.answers)
	return h, h.started[1]
}

// secondAttemptEnded reports whether the second attempt of request x has ended.
func (h *harness) secondAttemptEnded() bool {
	f := h.core.flowsByID["x"]
	return f == nil || f.attempts[1].ended
}

func returnFirst(h *harness, first Attempt) { h.reportEnd(first, balance.Full) }

// Failure (review, case 1): a target repeated its callback that it had returned a job. The scheduler took the repeat for the
// end of a later attempt that was running there, refused a purchase that ran, and the client's retry was granted twice.
func TestRepeatedReturnDoesNotEndALaterAttempt(t *testing.T) {
	for _, passedOn := range []bool{false, true} { // by another process of this scheduler, during an upgrade
		h, second := secondAttemptAt(t, "k", returnFirst)
		h.reportStart(second)
		for range 9 { // a target tries each call up to ten times
			h.callBack(TargetCallback{ID: "x", From: second.Target, Result: balance.Full, PassedOn: passedOn})
			h.advance(10)
		}
		require.Empty(t, h.answers)
		require.Empty(t, h.cancelled)
		require.Len(t, h.started, 2)
		h.callBack(TargetCallback{ID: "x", From: second.Target, Result: balance.OK, Body: "granted"})
		require.Equal(t, []Response{{Kind: Served, Body: "granted"}}, h.answers)
	}
}

// Failure (review, case 1): the same with a repeated call 'failed', or before the start of the later attempt was reported. The
// scheduler sent a further attempt while that one ran. It must be cancelled first.
func TestRepeatedEndThatMayBeEitherAttemptsCancelsFirst(t *testing.T) {
	for name, c := range map[string]struct {
		result  balance.Result
		started bool
	}{
		"returned, start not reported": {balance.Full, false},
		"failed, start not reported":   {balance.Failed, false},
		"failed, start reported":       {balance.Failed, true},
		"lost":                         {balance.Reset, true},
	} {
		t.Run(name, func(t *testing.T) {
			h, second := secondAttemptAt(t, "c", func(h *harness, first Attempt) { h.reportEnd(first, c.result) })
			if c.started {
				h.reportStart(second)
			}
			h.reportEnd(second, c.result)
			h.reportEnd(second, c.result)
			h.advance(20)
			require.Len(t, h.started, 2, "no further attempt before the cancellation is confirmed")
			require.Len(t, h.cancelled, 1)
			require.Equal(t, second.AttemptRef, h.cancelled[0].AttemptRef)
			require.True(t, h.cancelled[0].EndAmbiguous)
			require.False(t, h.secondAttemptEnded())
			h.apply(outcomeEvent{Outcome{AttemptRef: second.AttemptRef, Result: balance.Cancelled}})
			require.True(t, h.secondAttemptEnded())
		})
	}
}

// A purchase whose cancellation was ambiguous may have run: it is never refused.
func TestPurchaseThatMayHaveRunAfterAnAmbiguousEndIsNotRefused(t *testing.T) {
	h, second := secondAttemptAt(t, "k", returnFirst)
	h.reportEnd(second, balance.Full)
	h.apply(outcomeEvent{Outcome{AttemptRef: second.AttemptRef, Result: balance.Cancelled}})
	h.advance(6000)
	require.Len(t, h.answers, 1)
	require.Equal(t, Failed, h.answers[0].Kind)
}

// An attempt that was cancelled for another reason is cancelled again once its end is ambiguous: its target may have no further
// callback to send, and the request would wait until its deadline.
func TestAmbiguousEndOfACancelledAttempt(t *testing.T) {
	h, second := secondAttemptAt(t, "c", func(h *harness, first Attempt) { h.reportEnd(first, balance.Failed) })
	h.core.cancel(second.AttemptRef, balance.TargetEjected)
	h.reportEnd(second, balance.Failed)
	require.Len(t, h.cancelled, 2)
	require.False(t, h.cancelled[0].EndAmbiguous)
	require.True(t, h.cancelled[1].EndAmbiguous)
}

// Ends that only the outstanding attempt can have caused count at once.
func TestEndThatOnlyTheOutstandingAttemptCanHaveCaused(t *testing.T) {
	unanswered := func(result balance.Result) func(*harness, Attempt) {
		return func(h *harness, first Attempt) {
			h.apply(outcomeEvent{Outcome{AttemptRef: first.AttemptRef, Result: result}})
		}
	}
	for name, c := range map[string]struct {
		endFirst func(*harness, Attempt)
		result   balance.Result
	}{
		"returned, then failed":              {returnFirst, balance.Failed},
		"failed, then returned":              {func(h *harness, first Attempt) { h.reportEnd(first, balance.Failed) }, balance.Full},
		"no connection, then returned":       {unanswered(balance.NoConnection), balance.Full},
		"rejected by a response, then again": {unanswered(balance.Full), balance.Full},
		"status 500, then failed":            {unanswered(balance.Failed), balance.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			h, second := secondAttemptAt(t, "c", c.endFirst)
			h.reportEnd(second, c.result)
			require.Empty(t, h.cancelled)
			require.True(t, h.secondAttemptEnded())
		})
	}
}

// A start counts as the outstanding attempt's only if no earlier attempt at the target can have reported it.
func TestStartOfAnEarlierAttemptProvesNothing(t *testing.T) {
	h, second := secondAttemptAt(t, "c", func(h *harness, first Attempt) {
		h.apply(outcomeEvent{Outcome{AttemptRef: first.AttemptRef, Result: balance.Reset}})
	})
	h.reportStart(second)
	h.reportEnd(second, balance.Full)
	require.Len(t, h.cancelled, 1)
}

// Where targets also shed jobs that they have begun, a return after the start may be the outstanding attempt's.
func TestReturnAfterTheStartWhereJobsAreShedLate(t *testing.T) {
	h, second := secondAttemptAt(t, "c", returnFirst)
	h.core.cfg.Settings.FullMayHaveRun = true
	h.reportStart(second)
	h.reportEnd(second, balance.Full)
	require.Len(t, h.cancelled, 1)
}

// A front that knows the attempt says so: progress of an earlier attempt does not pass for that of a later one at the same target.
func TestProgressOfANamedAttempt(t *testing.T) {
	h, second := secondAttemptAt(t, "c", returnFirst)
	first := h.started[0].AttemptRef
	for _, attempt := range []AttemptRef{first, second.AttemptRef} {
		require.Empty(t, h.progress)
		require.Empty(t, h.partial)
		h.callBack(TargetCallback{ID: "x", From: second.Target, Attempt: &attempt, Progress: &Progress{Fraction: 0.5}})
		h.callBack(TargetCallback{ID: "x", From: second.Target, Attempt: &attempt, Partial: &PartialOutput{Data: "part"}})
	}
	require.Equal(t, []Progress{{Fraction: 0.5}}, h.progress)
	require.Equal(t, []PartialOutput{{Data: "part"}}, h.partial)
}

// repeatingTarget is a model of targets that repeat their callbacks. It records which attempts run.
type repeatingTarget struct {
	h       *harness
	rng     *rand.Rand
	pending []pendingCall
	running map[string]int  // attempts that have neither ended nor been cancelled, by request and target
	ran     map[string]bool // requests that started at a target
	seen    int             // attempts of h.started that have arrived
	deleted int             // cancellations of h.cancelled that have arrived
}

// pendingCall is a callback that arrives at a time in milliseconds, or the end of a job that causes it.
type pendingCall struct {
	at       float64
	attempt  Attempt
	result   balance.Result
	start    bool // a call 'started' in place of an end
	repeated bool
}

const maxCalls = 10 // tries of a target for each call

// arrive takes the attempts that were dispatched since the last call, and checks that none is a second copy.
func (r *repeatingTarget) arrive() {
	for ; r.seen < len(r.h.started); r.seen++ {
		a := r.h.started[r.seen]
		key := a.ID + "@" + a.Target
		require.Zero(r.h.t, r.running[key], "a second copy of %s", key)
		r.running[key]++
		now := r.h.clock.Now()
		result := []balance.Result{balance.Full, balance.Full, balance.Failed, balance.OK}[r.rng.IntN(4)]
		end := now + 1 + float64(r.rng.IntN(60))
		if result != balance.Full {
			r.ran[a.ID] = true
			r.pending = append(r.pending, pendingCall{at: now + 0.5, attempt: a, start: true})
		}
		r.pending = append(r.pending, pendingCall{at: end, attempt: a, result: result})
	}
	for ; r.deleted < len(r.h.cancelled); r.deleted++ {
		c := r.h.cancelled[r.deleted]
		key := c.ID + "@" + c.Target
		if r.running[key] == 0 && !c.EndAmbiguous {
			continue // 404: the transport waits for the final callback
		}
		r.running[key] = 0
		for i := range r.pending {
			if p := &r.pending[i]; p.attempt.AttemptRef == c.AttemptRef && !p.repeated {
				p.at = -1 // the end of a cancelled job is not reported
			}
		}
		r.h.apply(outcomeEvent{Outcome{AttemptRef: c.AttemptRef, Result: balance.Cancelled}})
	}
}

// deliverDue delivers the callbacks that are due. One of three is repeated, as if its answer had been lost.
func (r *repeatingTarget) deliverDue() {
	for i := 0; i < len(r.pending); i++ {
		call := r.pending[i]
		if call.at < 0 || call.at > r.h.clock.Now() {
			continue
		}
		r.pending[i].at = -1
		if !call.start && !call.repeated {
			r.running[call.attempt.ID+"@"+call.attempt.Target] = 0
		}
		for try := 1; !call.repeated && try < maxCalls && r.rng.IntN(3) == 0; try++ {
			repeat := call
			repeat.at, repeat.repeated = r.h.clock.Now()+float64(try)*(1+float64(r.rng.IntN(50))), true
			r.pending = append(r.pending, repeat)
		}
		if call.start {
			r.h.reportStart(call.attempt)
		} else {
			r.h.reportEnd(call.attempt, call.result)
		}
		r.arrive()
	}
}

// Over many seeds, targets return, fail and serve jobs and repeat their callbacks at random. No request may have two attempts
// at a target at once, and none that ran may be refused unless its class is safe to repeat.
func TestRepeatedCallbacksBreakNoRule(t *testing.T) {
	const seeds, requestsPerSeed = 300, 4
	for seed := range uint64(seeds) {
		h := newHarness(t, 2)
		r := &repeatingTarget{h: h, rng: rand.New(rand.NewPCG(seed, 43)), running: map[string]int{}, ran: map[string]bool{}}
		receivers := map[string]*responseLog{}
		for i := range requestsPerSeed {
			id := fmt.Sprintf("%d-%d", seed, i)
			receivers[id] = &responseLog{}
			h.apply(acceptEvent{&Request{ID: id, Class: []string{"c", "k"}[i%2], ClientTimeoutMS: 5000, Slots: 1, Receiver: receivers[id]}, h.clock.Now()})
			r.arrive()
		}
		for range 5200 {
			h.advance(1)
			r.arrive()
			r.deliverDue()
		}
		for id, receiver := range receivers {
			require.Len(t, receiver.responses, 1, "seed %d: final responses of %s", seed, id)
			isPurchase := id[len(id)-1]%2 == 1
			require.False(t, isPurchase && receiver.responses[0].Kind == Refused && r.ran[id], "seed %d: %s ran and was refused", seed, id)
		}
	}
}

// responseLog is a ResponseReceiver that records the final responses of one request.
type responseLog struct{ responses []Response }

func (l *responseLog) Respond(response Response)             { l.responses = append(l.responses, response) }
func (l *responseLog) Progress(Progress)                     {}
func (l *responseLog) Partial(PartialOutput) PartialHandling { return Ignored }
