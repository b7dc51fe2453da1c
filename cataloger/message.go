package cataloger

import (
	"net/netip"

	"zinniatide.example/zinniatide"
)

// Bounds of an announcement. They are far above any known server, keep one
// announcement from filling memory, and let the largest announcements of 150
// servers travel in one list within the link's limit of 8 MB.
const (
	maxSlots     = 4096
	maxOffers    = 64
	maxSearchers = 1024 // over all offers
	maxServers   = 1 << 16
)

// digest is the body of KindCatalogDigest.
type digest struct {
	Incarnation zinniatide.Incarnation `json:"incarnation"`
	Sequence    uint64                 `json:"sequence"`
}

// list is the reply to KindCatalogPull: everything that an owner lists.
type list struct {
	Incarnation zinniatide.Incarnation    `json:"incarnation"`
	Sequence    uint64                    `json:"sequence"`
	Servers     []zinniatide.Announcement `json:"servers"`
}

// newer reports whether a is a later state of the same VM than b.
func (a digest) newer(b digest) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Validate checks an announcement against the bounds. The error is a
// *zinniatide.Refusal with CodeBadRequest.
func Validate(a *zinniatide.Announcement) error {
	switch {
	case !idValid(string(a.Server)):
		return bad("server must have 1 to %d visible characters", zinniatide.MaxIDLength)
	case !idValid(string(a.Zone)):
		return bad("zone must have 1 to %d visible characters", zinniatide.MaxIDLength)
	case a.Incarnation == 0:
		return bad("incarnation must be above 0")
	case a.Slots == 0 || a.Slots > maxSlots:
		return bad("slots must be from 1 to %d", maxSlots)
	case a.Connections == 0:
		return bad("connections must be above 0")
	case len(a.Offers) > maxOffers:
		return bad("at most %d offers are allowed", maxOffers)
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return bad("address must be IP:port")
	}
	return validateOffers(a.Offers)
}

func validateOffers(offers []zinniatide.ServiceOffer) error {
	searchers := 0
	for i := range offers {
		if !idValid(string(offers[i].Service)) {
			return bad("service must have 1 to %d visible characters", zinniatide.MaxIDLength)
		}
		for j := range i {
			if offers[j].Service == offers[i].Service {
				return bad("service %q is offered twice", offers[i].Service)
			}
		}
		searchers += len(offers[i].Searchers)
		if searchers > maxSearchers {
			return bad("at most %d searchers are allowed", maxSearchers)
		}
		for _, s := range offers[i].Searchers {
			if s.First >= s.Last || s.Last > zinniatide.KeySpace {
				return bad("range [%d, %d) is empty or outside the key space", s.First, s.Last)
			}
		}
	}
	return nil
}

func idValid(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= zinniatide.MaxIDLength
}

func bad(format string, args ...any) error {
	return zinniatide.Refuse(zinniatide.CodeBadRequest, format, args...)
}
