package emulator

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// addressesResponse is the response of GET /v1/addresses.
type addressesResponse struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	Lifetime zinniatide.Millis `json:"lifetime-ms"`
}

// announcer sends announcements to one entry VM and finds another one when that
// fails.
type announcer struct {
	client          fasthttp.Client
	entryAddresses  []string
	announceAddress string // receives the announcements; empty if unknown
	nextAddress     int    // index of the next entry address to ask, not reduced modulo their number
}

// announceLoop announces the server at a fixed interval until stop is closed.
func (e *Emulator) announceLoop(stop chan struct{}) {
	a := &announcer{entryAddresses: e.cfg.EntryAddresses}
	a.client.MaxIdleConnDuration = 10 * time.Second
	ticker := time.NewTicker(zinniatide.AnnounceInterval.Duration())
	defer ticker.Stop()
	for {
		if len(a.entryAddresses) > 0 {
			if err := a.announce(e.newAnnouncement(), e.cfg.Zone); err != nil {
				klog.V(1).InfoS("announcement failed", "step", "announce", "peer", a.announceAddress, "err", err.Error())
				a.announceAddress = ""
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

func (e *Emulator) newAnnouncement() zinniatide.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return zinniatide.Announcement{
		Server: e.cfg.Server, Incarnation: zinniatide.Incarnation(e.incarnation.Load()), Zone: e.cfg.Zone,
		Address: e.address, Slots: uint16(e.cfg.Slots), Connections: uint16(e.cfg.Connections),
		Draining: e.draining, Offers: e.offers,
		Load: zinniatide.LoadReport{Busy: uint16(e.busy.Load()), Warm: e.coldStart.warm()},
	}
}

func (a *announcer) announce(m zinniatide.Announcement, zone zinniatide.ZoneID) error {
	if a.announceAddress == "" {
		if err := a.findEntryAddress(zone); err != nil {
			return err
		}
	}
	body, err := json.Marshal(m)
	if err != nil {
		return zinniatide.WrapStep(err, "encode announcement", a.announceAddress)
	}
	var reply struct {
		AnnounceAt string `json:"announce-at"`
	}
	if err := a.send("POST", "http://"+a.announceAddress+"/v1/announce", body, &reply); err != nil {
		return err
	}
	if reply.AnnounceAt != "" {
		a.announceAddress = reply.AnnounceAt
	}
	return nil
}

// findEntryAddress fetches the address list from the next configured entry VM and
// uses its first address, or the asked VM itself if the list is empty.
func (a *announcer) findEntryAddress(zone zinniatide.ZoneID) error {
	asked := a.entryAddresses[a.nextAddress%len(a.entryAddresses)]
	a.nextAddress++
	var response addressesResponse
	if err := a.send("GET", "http://"+asked+"/v1/addresses?zone="+string(zone), nil, &response); err != nil {
		return err
	}
	if len(response.Addresses) == 0 {
		a.announceAddress = asked
		return nil
	}
	a.announceAddress = response.Addresses[0].Address
	return nil
}

func (a *announcer) send(method, url string, body []byte, reply any) error {
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
