package controller

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

func (c *Controller) heartbeatHandler(from zinniatide.VMID, body []byte, reply func(any, error)) {
	var h controlproto.Heartbeat
	if err := encoder.Unmarshal(body, &h); err != nil {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode heartbeat of %s: %v", from, err))
		return
	}
	if h.Member.VM != from {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "heartbeat of VM %q came over the link of %q", h.Member.VM, from))
		return
	}
	c.log.Post(func() { c.heartbeat(&h, reply) })
}

// heartbeat replies to h. If h changes the member, it replies after the change
// is committed.
func (c *Controller) heartbeat(h *controlproto.Heartbeat, reply replyFunc) {
	leadership := c.leadership()
	if !leadership.Leading {
		reply(&controlproto.HeartbeatReply{LeaderStatus: leadership}, nil)
		return
	}
	if err := registrar.CheckMember(&h.Member); err != nil {
		reply(nil, err)
		return
	}
	member, known := c.stateMachine.Configuration().Members[h.Member.VM]
	switch {
	case h.Deregister:
		c.handleDeregistration(h, member, known, reply)
	case known && c.stateMachine.IsReplaced(h.Member.VM, h.Member.Process):
		reply(nil, zinniatide.Refuse(zinniatide.CodeSuperseded, "another process of VM %s, %d, has replaced this one", member.VM, member.Process))
	case known && member == h.Member:
		reply(c.extendLease(h), nil)
	default:
		klog.InfoS("VM is joining or changing its member data", "step", "join", "peer", h.Member.VM, "process", h.Member.Process, "state", h.Member.State, "control", h.Control)
		c.pendingJoins = append(c.pendingJoins, pendingJoin{h, reply})
		c.proposeJoins()
	}
}

// pendingJoin is a heartbeat that adds or changes its member.
type pendingJoin struct {
	heartbeat *controlproto.Heartbeat
	reply     replyFunc
}

// proposeJoins proposes all pending joins in one entry. At most one such entry
// is in flight; members that arrive meanwhile share the next one.
func (c *Controller) proposeJoins() {
	if c.joinInFlight || len(c.pendingJoins) == 0 {
		return
	}
	batch := c.pendingJoins
	c.pendingJoins, c.joinInFlight = nil, true
	join := &registrar.Join{}
	for _, j := range batch {
		join.Members = append(join.Members, j.heartbeat.Member)
	}
	c.propose(&registrar.Command{Join: join}, func(_ any, err error) {
		c.joinInFlight = false
		for _, j := range batch {
			if err != nil {
				j.reply(&controlproto.HeartbeatReply{LeaderStatus: c.leadership()}, nil)
			} else {
				j.reply(c.extendLease(j.heartbeat), nil)
			}
		}
		c.proposeJoins()
	})
}

// extendLease extends the lease of the sender of h, and starts a push if its
// configuration is outdated and no push is in flight. It runs when the reply is
// sent, so it checks again that this VM leads and that the member has not been
// removed in the meantime.
func (c *Controller) extendLease(h *controlproto.Heartbeat) *controlproto.HeartbeatReply {
	response := &controlproto.HeartbeatReply{LeaderStatus: c.leadership(), Epoch: c.stateMachine.Configuration().Epoch}
	s := c.sessions.get(h.Member.VM)
	if !response.Leading || s == nil || s.process != h.Member.Process {
		return response
	}
	now := c.clock.Now()
	response.LeaseExtended = s.recordHeartbeat(h.LastAnswered, now)
	s.setInstalled(h.Epoch, now)
	s.load = h.Load
	c.finishInstallWaits()
	if s.installedEpoch >= response.Epoch {
		return response
	}
	if !s.pushInFlight {
		c.pushNext(s, now)
	} else if now-s.pushedAt > pushRetryDelay {
		// The push may be delayed or lost while this reply gets through.
		response.Push = c.pushes.since(s.installedEpoch)
	}
	return response
}

// handleDeregistration removes a member that has given up its lease.
func (c *Controller) handleDeregistration(h *controlproto.Heartbeat, member zinniatide.Member, known bool, reply replyFunc) {
	response := &controlproto.HeartbeatReply{LeaderStatus: c.leadership()}
	if !known || member.Process != h.Member.Process {
		reply(response, nil)
		return
	}
	klog.InfoS("removing VM that gave up its lease", "step", "leave", "peer", member.VM, "process", member.Process)
	sessions := []registrar.Session{{VM: member.VM, Process: member.Process}}
	c.removeSessions(sessions, func(err error) {
		response.LeaderStatus = c.leadership()
		response.Leading = response.Leading && err == nil
		reply(response, nil)
	})
}

func (c *Controller) releaseHandler(from zinniatide.VMID, body []byte, reply func(any, error)) {
	var release controlproto.BucketRelease
	if err := encoder.Unmarshal(body, &release); err != nil {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode bucket release of %s: %v", from, err))
		return
	}
	if release.VM != from {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "bucket release of VM %q came over the link of %q", release.VM, from))
		return
	}
	c.log.Post(func() {
		if leadership := c.leadership(); !leadership.Leading {
			reply(&controlproto.ReleaseReply{LeaderStatus: leadership}, nil)
			return
		}
		if !c.stateMachine.ReleaseHasEffect(&release) {
			reply(&controlproto.ReleaseReply{LeaderStatus: c.leadership()}, nil)
			return
		}
		c.propose(&registrar.Command{Release: &release}, func(_ any, err error) {
			response := &controlproto.ReleaseReply{LeaderStatus: c.leadership()}
			response.Leading = response.Leading && err == nil
			reply(response, nil)
		})
	})
}
