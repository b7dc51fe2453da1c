package selflink_test

import (
	"context"
	"errors"
	"strings"
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
	call := func(peer zinniatide.VMID, kind zinniatide.MessageKind, timeout zinniatide.Millis) (text string, err error) {
		errs := make(chan error, 2)
		l.Call(peer, kind, "x", timeout, func(body []byte, err error) { errs <- errors.Join(err, codec.Decode(body, &text)) })
		return text, <-errs
	}
	if got, err := call("c1", 1, 30_000); err != nil || got != "c1x" {
		t.Errorf("call: %q, error %v", got, err)
	}
	if _, err := call("c1", 2, 30_000); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("refused call: error %v", err)
	}
	if _, err := call("c1", 3, 20); !errors.Is(err, zinniatide.ErrTimeout) {
		t.Errorf("call without answer: error %v", err)
	}
	var unknown *zinniatide.Refusal
	if _, err := call("c1", 4, 30_000); !errors.As(err, &unknown) {
		t.Errorf("call of an unknown kind: error %v", err)
	}
	if _, err := call("c2", 1, 30_000); !errors.Is(err, zinniatide.ErrNotSent) || l.Connected("c2") || !l.Connected("c1") {
		t.Errorf("call to another VM: error %v", err)
	}
	if l.Send("c1", 1, "x") != nil || !errors.Is(l.Send("c2", 1, "x"), zinniatide.ErrNotSent) {
		t.Error("send to the own VM failed, or to another VM succeeded")
	}
	cancel()
	<-stopped
}
