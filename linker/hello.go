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
	errClosing           = errors.New("the VM is closing its links")
	errTooManyHandshakes = errors.New("connection was closed for newer ones before its hello arrived")
	errEventLoopsStopped = errors.New("event loops are not running")
	errSuperseded        = errors.New("another process of the VM has taken its place")
	errRefused           = errors.New("peer refused the link")
	errOutdatedDial      = errors.New("a newer connection of the same process is established")
	errOtherProcess      = errors.New("another process of the VM is connected")
)

// connectTimeout limits the TCP connect. The first packet to a machine that is
// still booting is lost, and the kernel retransmits it only after a second, so a
// new dial is faster.
const connectTimeout = 300 * time.Millisecond

// maxHelloBytes limits the hello message, because the peer is not yet identified
// when it arrives.
const maxHelloBytes = 4 << 10

// hello is the first message in each direction. The dialling side sends it, the
// other side answers it.
type hello struct {
	VersionMin uint16               `json:"version-min"`
	VersionMax uint16               `json:"version-max"`
	VM         zinniatide.VMID      `json:"vm"`
	Process    zinniatide.ProcessID `json:"incarnation"`
	// Address is the address at which peers reach the sender.
	Address string `json:"address"`
	// Dial counts the dials of the sending process. It tells the order of connections
	// whose hellos arrive in another one. It is 0 in an answer.
	Dial uint64 `json:"dial,omitempty"`
	// DialBack is set in an answer if the answering side will dial instead, so
	// that this connection is closed.
	DialBack bool `json:"dial-back,omitempty"`
	// Refusal is set in an answer if the answering side refuses the link, and
	// contains the reason.
	Refusal string `json:"refusal,omitempty"`
}

func (l *Linker) ownHello() hello {
	return hello{
		VersionMin: l.config.VersionMin, VersionMax: l.config.VersionMax,
		VM: l.config.Self, Process: l.config.Process, Address: l.config.AdvertiseAddress,
	}
}

// checkHello returns an error if the VM id of a peer is invalid or if there is
// no common protocol version.
func (l *Linker) checkHello(h *hello) error {
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

// compresses reports whether both sides support compressed payloads.
func (l *Linker) compresses(h *hello) bool {
	return min(h.VersionMax, l.config.VersionMax) >= compressionVersion
}

func encodeHello(h hello, masked bool) ([]byte, error) {
	b, message, err := encodeFrame(&frameHeader{Kind: kindHello}, h, masked, nil)
	if err != nil {
		return nil, err
	}
	defer b.release()
	return append([]byte(nil), message...), nil
}

func decodeHello(frame []byte) (hello, error) {
	var h hello
	var header frameHeader
	body, err := parseFrame(frame, &header)
	if err == nil && (header.Kind != kindHello || header.Call != 0) {
		err = fmt.Errorf("first message has kind %d, want a hello", header.Kind)
	}
	if err == nil {
		err = encoder.Unmarshal(body, &h)
	}
	return h, err
}

// dial connects to a peer and installs the link. If the peer has the smaller id,
// this dial only asks the peer to dial back, because the peer may not know this
// VM yet.
func (l *Linker) dial(peer zinniatide.VMID, address string) {
	defer l.running.Done()
	l.finishDial(peer, l.connect(peer, address))
}

func (l *Linker) connect(peer zinniatide.VMID, address string) error {
	ctx, cancel := context.WithTimeout(l.ctx, zinniatide.LinkSilenceTimeout.Duration())
	defer cancel()
	dialer := ws.Dialer{NetDial: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	conn, buffered, _, err := dialer.Dial(ctx, "ws://"+l.config.DialAddress(peer, address)+"/link")
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
	lk := newLink(l, peer, answer.Process)
	lk.dialled, lk.compresses = true, l.compresses(&answer)
	return l.server.register(ctx, conn, lk)
}

func (l *Linker) exchangeHello(conn net.Conn) (hello, error) {
	own := l.ownHello()
	own.Dial = l.dialSequence.Add(1)
	message, err := encodeHello(own, true)
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
	if header.OpCode != ws.OpBinary || !header.Fin || header.Masked || header.Length > maxHelloBytes {
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
		return fmt.Errorf("%w: %s", errRefused, answer.Refusal)
	}
	if err := l.checkHello(answer); err != nil {
		return err
	}
	if answer.VM != peer {
		return fmt.Errorf("address belongs to VM %s", answer.VM)
	}
	if answer.DialBack != !l.dialsTo(peer) {
		return errors.New("peer disagrees on which side dials")
	}
	return nil
}

// answerHello answers the hello of a peer that dialled and installs the link. It
// returns nil without an error if this side will dial the peer instead.
func (l *Linker) answerHello(conn gnet.Conn, h *hello) (*link, error) {
	answer := l.ownHello()
	var lk *link
	err := l.checkHello(h)
	switch {
	case err != nil:
	case l.dialsTo(h.VM):
		l.probeOther(h.VM, h.Process)
		if _, err = net.ResolveTCPAddr("tcp", h.Address); err == nil {
			answer.DialBack = true
		}
	default:
		lk = newLink(l, h.VM, h.Process)
		lk.transport, lk.compresses, lk.dial = connTransport{conn}, l.compresses(h), h.Dial
		if err = l.checkInstallable(lk); errors.Is(err, errOtherProcess) {
			l.probeOther(h.VM, h.Process)
		}
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
		l.scheduleDialBack(h.VM, h.Address)
		return nil, nil
	}
	// Install the link after writing the answer, so that no other message can
	// precede the answer.
	return lk, l.installLink(lk)
}

// checkInstallable returns the error that installLink would return for lk.
func (l *Linker) checkInstallable(lk *link) error {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closing {
		return errClosing
	}
	if p := l.peers[lk.peer]; p != nil {
		return p.check(lk)
	}
	return nil
}

// probeOther probes the link to a peer if a process other than the given one has it.
func (l *Linker) probeOther(peer zinniatide.VMID, process zinniatide.ProcessID) {
	l.mu.RLock()
	var lk *link
	if p := l.peers[peer]; p != nil && p.link != nil && p.link.process != process {
		lk = p.link
	}
	l.mu.RUnlock()
	l.probe(lk)
}

func newLink(l *Linker, peer zinniatide.VMID, process zinniatide.ProcessID) *link {
	now := l.clock.Now()
	lk := &link{peer: peer, process: process, linker: l, established: now, lastPing: now,
		calls: make(map[uint64]pendingCall)}
	lk.lastReceived.Store(int64(now))
	return lk
}
