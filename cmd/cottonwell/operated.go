package main

import (
	"net"

	"cottonwell/internal/config"
	"cottonwell/internal/core"
	"cottonwell/internal/net/control"
	"cottonwell/internal/net/handover"
	"cottonwell/internal/net/shared"
)

// operated is the scheduler as operators act on it.
type operated struct{ *scheduler }

var _ control.Scheduler = operated{}

func (o operated) Ready() bool { return o.listener.Ready() }
func (o operated) Offline(target string) bool {
	return o.maintain(target, true, o.core.Offline(target))
}
func (o operated) Online(target string) bool { return o.maintain(target, false, o.core.Online(target)) }
func (o operated) OutOfService()             { o.listener.Leave() }
func (o operated) InService()                { o.listener.Return() }

// maintain tells the scheduler's other process of a target that is known here.
func (o operated) maintain(target string, offline, known bool) bool {
	if known && o.handover != nil {
		o.handover.Maintain(target, offline)
	}
	return known
}

// sibling is the scheduler as another process of it, the old or the new version, acts on it.
type sibling struct{ *scheduler }

var _ handover.Process = sibling{}

func (s sibling) Ready() bool            { return s.listener.Ready() && !s.listener.Winding() }
func (s sibling) News(n core.TargetNews) { s.core.News(n) }
func (s sibling) Maintained() []string   { return s.core.Maintained() }
func (s sibling) Maintain(t string, off bool) {
	if off {
		s.core.Inherit(t)
		return
	}
	s.core.Online(t)
}

// stray passes news of a job that is unknown here on to the scheduler's other process.
func (s *scheduler) stray(n core.TargetNews) {
	if s.handover != nil {
		s.handover.PassOn(n)
	}
}

// inherit takes over which targets are under maintenance, before anything is sent.
func (s *scheduler) inherit() {
	for _, target := range s.handover.Inherited() {
		s.log.Info("maintenance is taken over", "target", target)
		s.core.Inherit(target)
	}
}

// listenForClients listens at the clients' address, which two processes share while one takes over from the other.
func listenForClients(cfg *config.Config) (net.Listener, error) {
	if cfg.Control == "" {
		return net.Listen("tcp", cfg.Listen)
	}
	return shared.Listen(cfg.Listen)
}
