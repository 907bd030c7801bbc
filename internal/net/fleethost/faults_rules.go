//go:build wrong_rules && !wrong_trust && !wrong_fence && !wrong_plain

package fleethost

const (
	leasesNeverExpire = false
	fencingDisabled   = false
	agreementDisabled = false
	rulesNeverExpire  = true
)
