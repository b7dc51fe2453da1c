package gateway

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// Limits of one announcement. A backend server holds few searchers; the limits
// keep a single server from filling the catalog of every VM.
const (
	maxOffers            = 64
	maxSearchersPerOffer = 1024
)

func decodeAnnouncement(body []byte) (zinniatide.Announcement, error) {
	var a zinniatide.Announcement
	err := decodeObject(body, "", []field{
		{name: "server", target: identifier(&a.Server)},
		{name: "incarnation", target: &a.Incarnation},
		{name: "zone", target: identifier(&a.Zone)},
		{name: "address", target: &a.Address},
		{name: "slots", target: &a.Slots},
		{name: "connections", target: &a.Connections},
		{name: "draining", target: &a.Draining, optional: true},
		{name: "offers", nullable: true, target: array(maxOffers, func(raw []byte, path string) error {
			offer, err := decodeOffer(raw, path)
			a.Offers = append(a.Offers, offer)
			return err
		})},
		{name: "load", optional: true, target: func(raw []byte, path string) error {
			return decodeObject(raw, path+".", []field{
				{name: "busy", target: &a.Load.Busy},
				{name: "queue", target: &a.Load.Queue},
				{name: "warm", target: &a.Load.Warm},
			})
		}},
	})
	if err != nil {
		return a, err
	}
	return a, checkAnnouncement(&a)
}

func decodeOffer(raw []byte, path string) (zinniatide.ServiceOffer, error) {
	var offer zinniatide.ServiceOffer
	err := decodeObject(raw, path, []field{
		{name: "service", target: identifier(&offer.Service)},
		{name: "searchers", nullable: true, target: array(maxSearchersPerOffer, func(raw []byte, path string) error {
			var s zinniatide.Searcher
			err := decodeObject(raw, path, []field{
				{name: "version", target: &s.Version},
				{name: "first", target: &s.First},
				{name: "last", target: &s.End},
			})
			if err == nil && (s.First >= s.End || s.End > zinniatide.KeySpace) {
				err = fmt.Errorf("fields %q and %q are no range within %d keys", path+"first", path+"last", zinniatide.KeySpace)
			}
			offer.Searchers = append(offer.Searchers, s)
			return err
		})},
	})
	return offer, err
}

func checkAnnouncement(a *zinniatide.Announcement) error {
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return errors.New(`field "address" must be IP:port`)
	}
	if a.Incarnation == 0 {
		return errors.New(`field "incarnation" must not be 0`)
	}
	if a.Slots == 0 || a.Connections == 0 {
		return errors.New(`fields "slots" and "connections" must not be 0`)
	}
	return nil
}

func (g *Gateway) announce(r *request) {
	a, err := decodeAnnouncement(r.PostBody())
	if err != nil {
		r.refuse(badRequest(err))
		return
	}
	// announceAt is where the backend server should announce itself next time.
	announceAt, err := g.deps.Announcer.Announce(a)
	if err != nil {
		r.refuse(err)
		return
	}
	r.writeJSON(fasthttp.StatusOK, struct {
		AnnounceAt string `json:"announce-at"`
	}{announceAt})
}
