package core

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cottonwell/balance"
)

// Failure (review case 9): a target vanished between the parts of a result, and the client got its parts and the whole result of
// another target as one result. Whatever becomes of the parts, a client that is served has the output of one attempt.
func TestPartsOfTwoAttemptsAreNotOneResult(t *testing.T) {
	long := strings.Repeat("x", maxHeldBytes)
	for name, c := range map[string]struct {
		handling PartialHandling
		parts    []string       // of the first attempt
		result   balance.Result // of the first attempt
		want     Response       // after "tail" of the first attempt if that ends well, or "whole" of the second
		attempts int
	}{
		"held back, then the target vanishes":       {HeldBack, []string{"head,"}, balance.Reset, Response{Body: "whole"}, 2},
		"held back, then the target fails":          {HeldBack, []string{"head,"}, balance.Failed, Response{Body: "whole"}, 2},
		"held back, then complete":                  {HeldBack, []string{"head,", "middle,"}, balance.OK, Response{Body: "head,middle,tail"}, 1},
		"held back, and too long":                   {HeldBack, []string{long, "x"}, balance.OK, Response{Kind: Failed, Reason: resultTooLong}, 1},
		"held back, and too long with the last one": {HeldBack, []string{long}, balance.OK, Response{Kind: Failed, Reason: resultTooLong}, 1},
		"held back, too long, then a reset":         {HeldBack, []string{long, "x"}, balance.Reset, Response{Body: "whole"}, 2},
		"passed on, then the target vanishes":       {PassedOn, []string{"head,"}, balance.Reset, Response{Kind: Failed, MayRepeat: true, Reason: partialPassedOn}, 1},
		"passed on, then the target fails":          {PassedOn, []string{"head,"}, balance.Failed, Response{Kind: Failed, Reason: partialPassedOn}, 1},
		"passed on, then complete":                  {PassedOn, []string{long, "x"}, balance.OK, Response{Body: "tail"}, 1},
		"ignored, then the target vanishes":         {Ignored, []string{"head,"}, balance.Reset, Response{Body: "whole"}, 2},
		"ignored, then complete":                    {Ignored, []string{"head,"}, balance.OK, Response{Body: "tail"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.handling = c.handling
			h.apply(acceptEvent{&Request{ID: "x", Class: "c", ClientTimeoutMS: 5000, Receiver: h}, h.clock.Now()})
			first := h.started[0]
			send := func(part string) {
				h.callBack(TargetCallback{ID: "x", From: first.Target, Attempt: &first.AttemptRef, Partial: &PartialOutput{Data: part}})
			}
			for _, part := range c.parts {
				send(part)
			}
			h.apply(outcomeEvent{Outcome{AttemptRef: first.AttemptRef, Result: c.result, Body: "tail"}})
			send("late")
			require.Len(t, h.started, c.attempts)
			if c.attempts == 2 {
				h.apply(outcomeEvent{Outcome{AttemptRef: h.started[1].AttemptRef, Result: balance.OK, Body: "whole"}})
			}
			require.Equal(t, []Response{c.want}, h.answers)
			require.Len(t, h.partial, len(c.parts), "a part after the end of its attempt")
		})
	}
}
