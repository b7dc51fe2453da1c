package emulator

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// addressAnswer is the answer of GET /v1/addresses.
type addressAnswer struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	Lifetime zinniatide.Millis `json:"lifetime-ms"`
}

// announcer keeps track of the entry VM that gets the announcements.
type announcer struct {
	client  fasthttp.Client
	entries []string
	target  string
	next    int
}

func (e *Emulator) announceLoop(stop chan struct{}) {
	a := &announcer{entries: e.cfg.EntryAddresses}
	a.client.MaxIdleConnDuration = 10 * time.Second
	ticker := time.NewTicker(zinniatide.AnnounceInterval.Duration())
	defer ticker.Stop()
	for {
		if len(a.entries) > 0 {
			if err := a.announce(e.announcement(), e.cfg.Zone); err != nil {
				klog.V(1).InfoS("announcement failed", "step", "announce", "peer", a.target, "err", err.Error())
				a.target = ""
			}
		}
		select {
		case <-stop:
			a.client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

func (e *Emulator) announcement() zinniatide.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return zinniatide.Announcement{
		Server: e.cfg.Server, Incarnation: zinniatide.Incarnation(e.incarnation.Load()), Zone: e.cfg.Zone,
		Address: e.address, Slots: uint16(e.cfg.Slots), Connections: uint16(e.cfg.Connections),
		Draining: e.draining, Offers: e.offers,
		Load: zinniatide.LoadReport{Busy: uint16(e.busy.Load()), Warm: e.ramp.warm()},
	}
}

func (a *announcer) announce(m zinniatide.Announcement, zone zinniatide.ZoneID) error {
	if a.target == "" {
		if err := a.findTarget(zone); err != nil {
			return err
		}
	}
	body, err := json.Marshal(m)
	if err != nil {
		return zinniatide.WrapStep(err, "encode announcement", a.target)
	}
	var reply struct {
		AnnounceAt string `json:"announce-at"`
	}
	if err := a.call("POST", "http://"+a.target+"/v1/announce", body, &reply); err != nil {
		return err
	}
	if reply.AnnounceAt != "" {
		a.target = reply.AnnounceAt
	}
	return nil
}

// findTarget asks the known entry VMs in turn which address to use.
func (a *announcer) findTarget(zone zinniatide.ZoneID) error {
	seed := a.entries[a.next%len(a.entries)]
	a.next++
	var answer addressAnswer
	if err := a.call("GET", "http://"+seed+"/v1/addresses?zone="+string(zone), nil, &answer); err != nil {
		return err
	}
	if len(answer.Addresses) == 0 {
		a.target = seed
		return nil
	}
	a.target = answer.Addresses[0].Address
	return nil
}

func (a *announcer) call(method, url string, body []byte, reply any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := a.client.DoTimeout(req, resp, time.Second); err != nil {
		return zinniatide.WrapStep(err, method, url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return zinniatide.WrapStep(&zinniatide.Refusal{Code: zinniatide.CodeInternal,
			Message: string(resp.Body())}, method, url)
	}
	return zinniatide.WrapStep(json.Unmarshal(resp.Body(), reply), "decode", url)
}
