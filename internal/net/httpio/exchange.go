package httpio

import (
	"slices"

	"cottonwell/balance"
)

// Exchange is the response to an attempt, or how the attempt ended without one.
type Exchange string

// The possible exchanges.
const (
	JobDone      Exchange = "done"
	JobFailed    Exchange = "failed"
	JobReturned  Exchange = "returned"
	JobLost      Exchange = "lost"
	Status500    Exchange = "500" // and every response without a more specific meaning
	Rejected     Exchange = "503 or 504 with X-Turned-Away: 1"
	NotConnected Exchange = "refused, or not established"
	BrokenBefore Exchange = "broken before the request's last byte was written"
	BrokenAfter  Exchange = "broken between the request's last byte and the 202"
	NoResponse   Exchange = "no response"
	Cancelled    Exchange = "cancelled by the scheduler"
	NotStarted   Exchange = "never started by the scheduler"
)

// outcomeRow is a row of the protocol's table.
type outcomeRow struct {
	exchange Exchange
	result   balance.Result
}

// outcomeTable is the protocol's table from exchange to outcome, and its only copy. The outcomes balance.Full,
// NoConnection and NeverSent are the only ones that prove that the attempt never ran. Only on that proof is a
// purchase sent to another pod or refused.
func outcomeTable() []outcomeRow {
	return []outcomeRow{
		{JobDone, balance.OK},
		{JobFailed, balance.Failed},
		{Status500, balance.Failed},
		{JobReturned, balance.Full},
		{Rejected, balance.Full},
		{NotConnected, balance.NoConnection},
		{BrokenBefore, balance.NoConnection},
		{JobLost, balance.Reset},
		{BrokenAfter, balance.Reset},
		{NoResponse, balance.TimedOut},
		{Cancelled, balance.Cancelled},
		{NotStarted, balance.NeverSent},
	}
}

// Outcome returns the result of an exchange; ok is false if the table has no such exchange.
func Outcome(x Exchange) (res balance.Result, ok bool) {
	table := outcomeTable()
	i := slices.IndexFunc(table, func(r outcomeRow) bool { return r.exchange == x })
	if i < 0 {
		return balance.Failed, false
	}
	return table[i].result, true
}

// ForJobState returns the exchange for a callback's state, or "" if that state does not end an attempt.
func ForJobState(state string) Exchange {
	switch x := Exchange(state); x {
	case JobDone, JobFailed, JobReturned, JobLost:
		return x
	}
	return ""
}

// ForStatus returns the exchange for a response's status, except 202.
func ForStatus(status int, rejected bool) Exchange {
	if (status == 503 || status == 504) && rejected {
		return Rejected
	}
	return Status500
}
