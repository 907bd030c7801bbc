package main

import "cottonwell/internal/net/control"

// operated is the scheduler as operators act on it.
type operated struct{ *scheduler }

var _ control.Scheduler = operated{}

func (o operated) Ready() bool                { return o.listener.Ready() }
func (o operated) Offline(target string) bool { return o.core.Offline(target) }
func (o operated) Online(target string) bool  { return o.core.Online(target) }
func (o operated) OutOfService()              { o.listener.Leave() }
func (o operated) InService()                 { o.listener.Return() }
