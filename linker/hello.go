package linker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

var (
	errClosing    = errors.New("the VM is closing its links")
	errNotServing = errors.New("event loops do not run")
	errStale      = errors.New("a later incarnation of the VM is known")
)

// connectTimeout bounds the set-up of a TCP connection. The first packet to a
// machine that is still starting is lost and would be sent again only after a
// second, which is longer than a new dial takes.
const connectTimeout = 300 * time.Millisecond

// maxHello bounds the hello message, which arrives before the peer is known.
const maxHello = 4 << 10

// hello is the first message in each direction. The side that dialled sends
// it first.
type hello struct {
	VersionMin  uint16                 `json:"version-min"`
	VersionMax  uint16                 `json:"version-max"`
	VM          zinniatide.VMID        `json:"vm"`
	Incarnation zinniatide.Incarnation `json:"incarnation"`
	// Address is where the sender listens.
	Address string `json:"address"`
	// DialBack is set in an answer when the receiver will dial the sender.
	DialBack bool `json:"dial-back,omitempty"`
	// Refusal is set in an answer when no link comes about.
	Refusal string `json:"refusal,omitempty"`
}

func (l *Linker) ownHello() hello {
	return hello{
		VersionMin: l.config.VersionMin, VersionMax: l.config.VersionMax,
		VM: l.config.Self, Incarnation: l.config.Incarnation, Address: l.config.AdvertiseAddress,
	}
}

// check refuses a peer that cannot be talked to.
func (l *Linker) check(h *hello) error {
	if h.VM == "" || len(h.VM) > zinniatide.MaxIDLength {
		return fmt.Errorf("VM id %q is not valid", h.VM)
	}
	if h.VM == l.config.Self {
		return fmt.Errorf("peer has this VM's own id %q", h.VM)
	}
	if h.VersionMin > h.VersionMax || h.VersionMax < l.config.VersionMin || h.VersionMin > l.config.VersionMax {
		return fmt.Errorf("protocol versions %d to %d of %s do not overlap versions %d to %d of %s",
			h.VersionMin, h.VersionMax, h.VM, l.config.VersionMin, l.config.VersionMax, l.config.Self)
	}
	return nil
}

// compresses reports whether both sides understand compressed payloads.
func (l *Linker) compresses(h *hello) bool {
	return min(h.VersionMax, l.config.VersionMax) >= compressionVersion
}

func encodeHello(h hello, masked bool) ([]byte, error) {
	s, message, err := encodeFrame(&frameHeader{Kind: kindHello}, h, masked, nil)
	if err != nil {
		return nil, err
	}
	defer s.release()
	return append([]byte(nil), message...), nil
}

func decodeHello(message []byte) (hello, error) {
	var h hello
	var header frameHeader
	body, err := parseFrame(message, &header)
	if err == nil && (header.Kind != kindHello || header.Call != 0) {
		err = fmt.Errorf("first message has kind %d instead of a hello", header.Kind)
	}
	if err == nil {
		err = encoder.Unmarshal(body, &h)
	}
	return h, err
}

// dial connects to a peer and installs the link. When the peer's id is the
// smaller one, it only asks the peer to dial back: a VM that joins is unknown
// to the VMs that should dial it.
func (l *Linker) dial(peer zinniatide.VMID, address string) {
	defer l.running.Done()
	l.dialEnded(peer, l.connect(peer, address))
}

func (l *Linker) connect(peer zinniatide.VMID, address string) error {
	ctx, cancel := context.WithTimeout(l.ctx, zinniatide.LinkSilenceTimeout.Duration())
	defer cancel()
	dialer := ws.Dialer{NetDial: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	conn, buffered, _, err := dialer.Dial(ctx, "ws://"+l.config.Route(peer, address)+"/link")
	if err != nil {
		return err
	}
	if buffered != nil {
		_ = conn.Close()
		return errors.New("peer sent data before the hello")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, err := l.exchangeHello(conn)
	if err == nil {
		err = l.checkAnswer(peer, &answer)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || answer.DialBack {
		_ = conn.Close()
		return err
	}
	k := newLink(l, peer, answer.Incarnation)
	k.dialled, k.compresses = true, l.compresses(&answer)
	return l.server.enroll(ctx, conn, k)
}

func (l *Linker) exchangeHello(conn net.Conn) (hello, error) {
	message, err := encodeHello(l.ownHello(), true)
	if err != nil {
		return hello{}, err
	}
	if _, err := conn.Write(message); err != nil {
		return hello{}, err
	}
	header, err := ws.ReadHeader(conn)
	if err != nil {
		return hello{}, err
	}
	if header.OpCode != ws.OpBinary || !header.Fin || header.Masked || header.Length > maxHello {
		return hello{}, errors.New("peer's first message is not a hello")
	}
	answer := make([]byte, header.Length)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return hello{}, err
	}
	return decodeHello(answer)
}

func (l *Linker) checkAnswer(peer zinniatide.VMID, answer *hello) error {
	if answer.Refusal != "" {
		return fmt.Errorf("peer refused the link: %s", answer.Refusal)
	}
	if err := l.check(answer); err != nil {
		return err
	}
	if answer.VM != peer {
		return fmt.Errorf("address belongs to VM %s", answer.VM)
	}
	if answer.DialBack != !l.dialsTo(peer) {
		return errors.New("peer disagrees about which side dials")
	}
	return nil
}

// accept answers the hello of a peer that dialled. The link is nil when none
// comes about.
func (l *Linker) accept(conn gnet.Conn, h *hello) (*link, error) {
	answer := l.ownHello()
	var k *link
	err := l.check(h)
	switch {
	case err != nil:
	case l.dialsTo(h.VM):
		if _, err = net.ResolveTCPAddr("tcp", h.Address); err == nil {
			answer.DialBack = true
		}
	default:
		k = newLink(l, h.VM, h.Incarnation)
		k.transport, k.compresses = connTransport{conn}, l.compresses(h)
		err = l.acceptable(k)
	}
	if err != nil {
		answer.Refusal = err.Error()
	}
	message, encodeErr := encodeHello(answer, false)
	if encodeErr != nil {
		return nil, encodeErr
	}
	if _, writeErr := conn.Write(message); writeErr != nil {
		return nil, writeErr
	}
	if err != nil {
		return nil, err
	}
	if answer.DialBack {
		l.learn(h.VM, h.Address)
		return nil, nil
	}
	// The answer has been written first, so that no other message precedes it.
	return k, l.install(k)
}

// acceptable reports why install would refuse k.
func (l *Linker) acceptable(k *link) error {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closing {
		return errClosing
	}
	if p := l.peers[k.peer]; p != nil && k.incarnation < p.incarnation {
		return errStale
	}
	return nil
}

func newLink(l *Linker, peer zinniatide.VMID, incarnation zinniatide.Incarnation) *link {
	now := l.clock.Now()
	k := &link{peer: peer, incarnation: incarnation, owner: l, established: now, pinged: now,
		calls: make(map[uint64]pendingCall)}
	k.received.Store(int64(now))
	return k
}
