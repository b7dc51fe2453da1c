package controller

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

func (c *Controller) claimHandler(from zinniatide.VMID, body []byte, reply func(any, error)) {
	var claim zinniatide.Claim
	if err := encoder.Unmarshal(body, &claim); err != nil {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode claim of %s: %v", from, err))
		return
	}
	if claim.VM != from {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "claim of VM %q came over the link of %q", claim.VM, from))
		return
	}
	c.log.Post(func() {
		if leadership := c.leadership(); !leadership.Leading {
			reply(&controlproto.ClaimReply{LeaderStatus: leadership}, nil)
			return
		}
		c.propose(&registrar.Command{Claim: &claim}, func(result any, err error) {
			response := &controlproto.ClaimReply{LeaderStatus: c.leadership(), Refusal: controlproto.FromError(err)}
			if err == nil {
				// A committed claim is final even if this VM no longer leads.
				response.Leading = true
				response.Reply, _ = result.(zinniatide.ClaimReply)
			}
			reply(response, nil)
		})
	})
}

func (c *Controller) claimResultHandler(from zinniatide.VMID, body []byte, reply func(any, error)) {
	var result zinniatide.ClaimResult
	if err := encoder.Unmarshal(body, &result); err != nil {
		reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode claim result of %s: %v", from, err))
		return
	}
	c.log.Post(func() {
		if leadership := c.leadership(); !leadership.Leading {
			reply(&controlproto.ClaimResultReply{LeaderStatus: leadership}, nil)
			return
		}
		c.propose(&registrar.Command{Result: &result}, func(_ any, err error) {
			response := &controlproto.ClaimResultReply{LeaderStatus: c.leadership(), Refusal: controlproto.FromError(err)}
			response.Leading = response.Leading || err == nil
			reply(response, nil)
		})
	})
}
