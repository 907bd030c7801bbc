//go:build wrong_plain && !wrong_trust && !wrong_fence && !wrong_rules

package fleethost

const (
	leasesNeverExpire = false
	fencingDisabled   = false
	agreementDisabled = true
	rulesNeverExpire  = false
)
