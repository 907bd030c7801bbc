package main

import (
	"net"

	"cottonwell/internal/config"
	"cottonwell/internal/core"
	"cottonwell/internal/net/control"
	"cottonwell/internal/net/handover"
	"cottonwell/internal/net/reuseport"
)

// operatorControl gives the control address access to the scheduler.
type operatorControl struct{ *scheduler }

var _ control.Scheduler = operatorControl{}

func (o operatorControl) Ready() bool { return o.listener.Ready() }
func (o operatorControl) Offline(target string) bool {
	return o.propagateMaintenance(target, true, o.core.Offline(target))
}
func (o operatorControl) Online(target string) bool {
	return o.propagateMaintenance(target, false, o.core.Online(target))
}
func (o operatorControl) OutOfService() { o.listener.TakeOutOfService() }
func (o operatorControl) InService()    { o.listener.PutInService() }

// propagateMaintenance notifies the scheduler's other process that a target is offline or online, if the target is known. It
// returns known.
func (o operatorControl) propagateMaintenance(target string, offline, known bool) bool {
	if known && o.handover != nil {
		o.handover.Maintain(target, offline)
	}
	return known
}

// handoverProcess gives another process of the same scheduler, of an older or a newer version, access to it during a handover.
type handoverProcess struct{ *scheduler }

var _ handover.Process = handoverProcess{}

func (s handoverProcess) Ready() bool { return s.listener.Ready() && !s.listener.ShuttingDown() }
func (s handoverProcess) ReceiveCallback(callback core.TargetCallback) {
	s.core.ReceiveCallback(callback)
}
func (s handoverProcess) Maintained() []string { return s.core.OfflineTargets() }
func (s handoverProcess) Maintain(target string, offline bool) {
	if offline {
		s.core.InheritOffline(target)
		return
	}
	s.core.Online(target)
}

func (s handoverProcess) FleetRole() handover.FleetRole {
	if s.duties != nil && s.duties.Running() {
		return handover.Active
	}
	return handover.Passive
}

func (s handoverProcess) TakeOverGearman() bool {
	return s.gearmanFront != nil && s.gearmanFront.takeOver()
}

func (s handoverProcess) ReceiveDatagram(d handover.Datagram) {
	if s.duties != nil {
		s.duties.Receive(d.Sender, string(d.Raw))
	}
}

// forwardUnmatched forwards a report on a job that is unknown in this process to the scheduler's other process.
func (s *scheduler) forwardUnmatched(callback core.TargetCallback) {
	if s.handover != nil {
		s.handover.Forward(callback)
	}
}

// takeOverMaintenance takes over the targets under maintenance from the scheduler's other process. It runs before the first
// attempt is sent.
func (s *scheduler) takeOverMaintenance() {
	for _, target := range s.handover.Inherited() {
		s.log.Info("target under maintenance taken over from another process", "target", target)
		s.core.InheritOffline(target)
	}
}

// listenForClients listens at the clients' address. With a control address, two processes can share it during a handover.
func listenForClients(cfg *config.Config) (net.Listener, error) {
	if cfg.Control == "" {
		return net.Listen("tcp", cfg.Listen)
	}
	return reuseport.Listen(cfg.Listen)
}
