// Package selflink lets a VM send messages to itself over a zinniatide.Linker
// that only connects to other VMs.
package selflink

import (
	"context"
	"sync/atomic"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/codec"
)

// queueLength bounds the messages that wait for their handler. A control
// leader's own VM has a few calls in flight.
const queueLength = 4096

// Link adds delivery to the own VM to a Linker. Messages to the own VM are
// encoded like all others, so handlers see the same bytes.
type Link struct {
	zinniatide.Linker
	self     zinniatide.VMID
	handlers map[zinniatide.MessageKind]zinniatide.LinkHandler
	queue    chan func()
}

// New returns links with delivery to self.
func New(links zinniatide.Linker, self zinniatide.VMID) *Link {
	return &Link{Linker: links, self: self, handlers: map[zinniatide.MessageKind]zinniatide.LinkHandler{}, queue: make(chan func(), queueLength)}
}

// Handle implements zinniatide.Linker.
func (l *Link) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	l.handlers[kind] = h
	l.Linker.Handle(kind, h)
}

// Connected implements zinniatide.Linker. A VM is always connected to itself.
func (l *Link) Connected(peer zinniatide.VMID) bool {
	return peer == l.self || l.Linker.Connected(peer)
}

// Run serves the messages to the own VM, in order, until ctx ends.
func (l *Link) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f()
		}
	}
}

// Send implements zinniatide.Linker.
func (l *Link) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	if peer != l.self {
		return l.Linker.Send(peer, kind, body)
	}
	return l.deliver(kind, body, nil)
}

// Call implements zinniatide.Linker.
func (l *Link) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func([]byte, error)) {
	if peer != l.self {
		l.Linker.Call(peer, kind, body, timeout, done)
		return
	}
	var called atomic.Bool
	finish := func(reply []byte, err error) {
		if called.CompareAndSwap(false, true) {
			done(reply, err)
		}
	}
	timer := time.AfterFunc(timeout.Duration(), func() { finish(nil, zinniatide.ErrTimeout) })
	err := l.deliver(kind, body, func(value any, err error) {
		timer.Stop()
		var encoded []byte
		if err == nil {
			encoded, err = codec.Encode(value)
		}
		finish(encoded, err)
	})
	if err != nil {
		timer.Stop()
		finish(nil, err)
	}
}

func (l *Link) deliver(kind zinniatide.MessageKind, body any, reply func(any, error)) error {
	encoded, err := codec.Encode(body)
	if err != nil {
		return zinniatide.WrapStep(err, "encode message", string(l.self))
	}
	h := l.handlers[kind]
	if h == nil {
		return zinniatide.Refuse(zinniatide.CodeMethodNotSupported, "message kind %d is unknown", kind)
	}
	select {
	case l.queue <- func() { h(l.self, encoded, reply) }:
		return nil
	default:
		return zinniatide.ErrNotSent
	}
}
