package httpio

import (
	"slices"

	"cottonwell/balance"
)

// Exchange is what came back, or did not, of an attempt.
type Exchange string

// What may come back of an attempt.
const (
	JobDone      Exchange = "done"
	JobFailed    Exchange = "failed"
	JobReturned  Exchange = "returned"
	JobLost      Exchange = "lost"
	Status500    Exchange = "500" // and every answer that says nothing better
	TurnedAway   Exchange = "503 or 504 with X-Turned-Away: 1"
	NotConnected Exchange = "refused, or never up"
	BrokenBefore Exchange = "broken before the request's last byte was written"
	BrokenAfter  Exchange = "broken after that, before the 202"
	Silence      Exchange = "nothing"
	GivenUp      Exchange = "given up by us"
	NotBegun     Exchange = "never begun by us"
)

// row is a line of the protocol's table.
type row struct {
	back   Exchange
	result balance.Result
}

// table is the protocol's table from exchange to outcome, the only one there is. What
// proves that the attempt never ran is a matter of balance.Full, NoConnection and
// NeverSent alone; a purchase is sent elsewhere, or refused, on that proof.
func table() []row {
	return []row{
		{JobDone, balance.OK},
		{JobFailed, balance.Failed},
		{Status500, balance.Failed},
		{JobReturned, balance.Full},
		{TurnedAway, balance.Full},
		{NotConnected, balance.NoConnection},
		{BrokenBefore, balance.NoConnection},
		{JobLost, balance.Reset},
		{BrokenAfter, balance.Reset},
		{Silence, balance.TimedOut},
		{GivenUp, balance.Cancelled},
		{NotBegun, balance.NeverSent},
	}
}

// Outcome looks an exchange up; ok is false for one that the table does not have.
func Outcome(x Exchange) (res balance.Result, ok bool) {
	t := table()
	i := slices.IndexFunc(t, func(r row) bool { return r.back == x })
	if i < 0 {
		return balance.Failed, false
	}
	return t[i].result, true
}

// JobState is the exchange that a call-back's state stands for, if it ends an attempt.
func JobState(state string) Exchange {
	switch x := Exchange(state); x {
	case JobDone, JobFailed, JobReturned, JobLost:
		return x
	}
	return ""
}

// Answered is the exchange that an answer's status stands for, 202 apart.
func Answered(status int, turnedAway bool) Exchange {
	if (status == 503 || status == 504) && turnedAway {
		return TurnedAway
	}
	return Status500
}
