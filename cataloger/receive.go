package cataloger

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

func (c *Cataloger) receiveAnnounce(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	a, err := decodeAnnouncement(body)
	if err == nil {
		err = c.accept(&a)
	}
	if err != nil {
		klog.ErrorS(zinniatide.WrapStep(err, "accept announcement", string(from)), "refused an announcement", "step", "announce", "peer", from)
	}
	if reply != nil {
		reply(struct{}{}, err)
	}
}

func (c *Cataloger) receiveDigest(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	var d digest
	err := encoder.Unmarshal(body, &d)
	if err == nil {
		c.pullIfOutdated(from, d)
	} else {
		klog.ErrorS(zinniatide.WrapStep(err, "decode digest", string(from)), "ignored an undecodable digest", "step", "digest", "peer", from)
	}
	if reply != nil {
		reply(struct{}{}, err)
	}
}

func (c *Cataloger) receivePull(_ zinniatide.VMID, _ []byte, reply func(value any, err error)) {
	if reply == nil {
		return
	}
	c.mu.Lock()
	l := list{c.options.Process, c.table.sequence, c.table.list()}
	c.mu.Unlock()
	reply(l, nil)
}

func decodeAnnouncement(body []byte) (a zinniatide.Announcement, err error) {
	if err := encoder.Unmarshal(body, &a); err != nil {
		return a, err
	}
	return a, Validate(&a)
}

// decodeList decodes a list. It refuses the whole list if any entry is invalid,
// because its sender is faulty then.
func decodeList(body []byte) (l list, err error) {
	if err := encoder.Unmarshal(body, &l); err != nil {
		return l, err
	}
	if len(l.Servers) > maxServers {
		return l, badRequest("at most %d servers may be listed", maxServers)
	}
	for i := range l.Servers {
		if err := Validate(&l.Servers[i]); err != nil {
			return l, err
		}
	}
	return l, nil
}
