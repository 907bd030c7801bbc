//go:build !wrong_trust && !wrong_fence && !wrong_plain && !wrong_rules

package fleethost

// These constants are true only in builds that are faulty on purpose. Such a build tests that the checker of the
// fault-injection rig finds the fault.
const (
	leasesNeverExpire = false // a holder keeps believing its last state
	fencingDisabled   = false // acts are accepted under any number
	agreementDisabled = false // each scheduler applies a document as soon as it reads it
	rulesNeverExpire  = false // a version stays in force until a newer one is received
)
