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

// heartbeat answers h, after a log entry when h changes the member.
func (c *Controller) heartbeat(h *controlproto.Heartbeat, reply replyFunc) {
	lead := c.leadership()
	if !lead.Leading {
		reply(&controlproto.HeartbeatReply{Leadership: lead}, nil)
		return
	}
	if err := registrar.CheckMember(&h.Member); err != nil {
		reply(nil, err)
		return
	}
	member, known := c.machine.Configuration().Members[h.Member.VM]
	switch {
	case h.Gone:
		c.leave(h, member, known, reply)
	case known && member.Incarnation > h.Member.Incarnation:
		reply(nil, zinniatide.Refuse(zinniatide.CodeSuperseded, "VM %s runs with incarnation %d", member.VM, member.Incarnation))
	case known && member == h.Member:
		reply(c.grant(h), nil)
	default:
		klog.InfoS("VM joins or changes", "step", "join", "peer", h.Member.VM, "incarnation", h.Member.Incarnation, "state", h.Member.State, "control", h.Control)
		c.joins = append(c.joins, joining{h, reply})
		c.proposeJoins()
	}
}

// joining is a heartbeat that changes its member.
type joining struct {
	heartbeat *controlproto.Heartbeat
	reply     replyFunc
}

// proposeJoins proposes the waiting members in one entry. One such entry is
// under way at a time; the members that arrive meanwhile share the next.
func (c *Controller) proposeJoins() {
	if c.joinsOpen || len(c.joins) == 0 {
		return
	}
	batch := c.joins
	c.joins, c.joinsOpen = nil, true
	join := &registrar.Join{}
	for _, j := range batch {
		join.Members = append(join.Members, j.heartbeat.Member)
	}
	c.propose(&registrar.Command{Join: join}, func(_ any, err error) {
		c.joinsOpen = false
		for _, j := range batch {
			if err != nil {
				j.reply(&controlproto.HeartbeatReply{Leadership: c.leadership()}, nil)
			} else {
				j.reply(c.grant(j.heartbeat), nil)
			}
		}
		c.proposeJoins()
	})
}

// grant extends the lease of a member, and brings it up to date when no push
// is under way. It is called at the time of the reply, so it checks again that
// this VM leads and that the member has not been removed in the meantime.
func (c *Controller) grant(h *controlproto.Heartbeat) *controlproto.HeartbeatReply {
	answer := &controlproto.HeartbeatReply{Leadership: c.leadership(), Epoch: c.machine.Configuration().Epoch}
	s := c.sessions.get(h.Member.VM)
	if !answer.Leading || s == nil || s.incarnation != h.Member.Incarnation {
		return answer
	}
	now := c.clock.Now()
	answer.Granted = s.hear(h.Answered, now)
	s.installed = max(s.installed, h.Epoch)
	s.load = h.Load
	if s.installed >= answer.Epoch {
		return answer
	}
	if !s.pushing {
		c.push(s, now)
	} else if now-s.pushed > pushRetry {
		// The push may be stuck on its way while this reply gets through.
		answer.Push = c.pushes.since(s.installed)
	}
	return answer
}

// leave removes a member that has given up its lease.
func (c *Controller) leave(h *controlproto.Heartbeat, member zinniatide.Member, known bool, reply replyFunc) {
	answer := &controlproto.HeartbeatReply{Leadership: c.leadership()}
	if !known || member.Incarnation != h.Member.Incarnation {
		reply(answer, nil)
		return
	}
	klog.InfoS("VM has left", "step", "leave", "peer", member.VM, "incarnation", member.Incarnation)
	gone := []registrar.Session{{VM: member.VM, Incarnation: member.Incarnation}}
	c.remove(gone, func(err error) {
		answer.Leadership = c.leadership()
		answer.Leading = answer.Leading && err == nil
		reply(answer, nil)
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
		if lead := c.leadership(); !lead.Leading {
			reply(&controlproto.ReleaseReply{Leadership: lead}, nil)
			return
		}
		if !c.machine.ReleaseHasEffect(&release) {
			reply(&controlproto.ReleaseReply{Leadership: c.leadership()}, nil)
			return
		}
		c.propose(&registrar.Command{Release: &release}, func(_ any, err error) {
			answer := &controlproto.ReleaseReply{Leadership: c.leadership()}
			answer.Leading = answer.Leading && err == nil
			reply(answer, nil)
		})
	})
}
