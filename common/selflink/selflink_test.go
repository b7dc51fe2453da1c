package selflink_test

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/codec"
	"zinniatide.example/zinniatide/common/selflink"
)

// elsewhere is a Linker without peers.
type elsewhere struct{ zinniatide.Linker }

func (elsewhere) Handle(zinniatide.MessageKind, zinniatide.LinkHandler) {}
func (elsewhere) Connected(zinniatide.VMID) bool                        { return false }
func (elsewhere) Send(zinniatide.VMID, zinniatide.MessageKind, any) error {
	return zinniatide.ErrNotSent
}
func (elsewhere) Call(_ zinniatide.VMID, _ zinniatide.MessageKind, _ any, _ zinniatide.Millis, done func([]byte, error)) {
	done(nil, zinniatide.ErrNotSent)
}

// Guards against a control leader that cannot reach its own VM, and against
// calls whose done is called twice or never.
func TestMessagesToTheOwnVM(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := selflink.New(elsewhere{}, "c1")
	l.Handle(1, func(from zinniatide.VMID, body []byte, reply func(any, error)) {
		if reply != nil {
			reply(string(from)+string(body[1:]), nil)
		}
	})
	l.Handle(2, func(_ zinniatide.VMID, _ []byte, reply func(any, error)) { reply(nil, errors.New("refused")) })
	l.Handle(3, func(zinniatide.VMID, []byte, func(any, error)) {}) // never answers
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { l.Run(ctx); close(stopped) }()
	type result struct {
		body []byte
		err  error
	}
	call := func(peer zinniatide.VMID, kind zinniatide.MessageKind) result {
		results := make(chan result, 2)
		timeout := zinniatide.Millis(30_000)
		if kind == 3 {
			timeout = 20
		}
		l.Call(peer, kind, "x", timeout, func(body []byte, err error) { results <- result{append([]byte(nil), body...), err} })
		return <-results
	}
	var text string
	if got := call("c1", 1); got.err != nil || codec.Decode(got.body, &text) != nil || text != "c1x" {
		t.Errorf("call: %q, error %v", text, got.err)
	}
	if got := call("c1", 2); got.err == nil || got.err.Error() != "refused" {
		t.Errorf("refused call: error %v", got.err)
	}
	if got := call("c1", 3); !errors.Is(got.err, zinniatide.ErrTimeout) {
		t.Errorf("call without answer: error %v", got.err)
	}
	if got := call("c1", 4); got.err == nil {
		t.Error("call of an unknown kind has no error")
	}
	if got := call("c2", 1); !errors.Is(got.err, zinniatide.ErrNotSent) || l.Connected("c2") || !l.Connected("c1") {
		t.Errorf("call to another VM: error %v", got.err)
	}
	if l.Send("c1", 1, "x") != nil || !errors.Is(l.Send("c2", 1, "x"), zinniatide.ErrNotSent) {
		t.Error("send to the own VM failed, or to another VM succeeded")
	}
	cancel()
	<-stopped
}
