package cataloger

import (
	"net/netip"

	"zinniatide.example/zinniatide"
)

// Limits of one announcement, and of the servers in one table or list
// (maxServers). They are far above the needs of any known server. A list of 150
// announcements of the largest size still fits into the link's message limit of
// 8 MB.
const (
	maxSlots     = 4096
	maxOffers    = 64
	maxSearchers = 1024 // over all offers
	maxServers   = 1 << 16
)

// digest is the version of the list of a VM and the body of KindCatalogDigest. The
// encoder uses the json tags as CBOR keys.
type digest struct {
	Process  zinniatide.ProcessID `json:"incarnation"`
	Sequence uint64               `json:"sequence"`
}

// list is the reply to KindCatalogPull. It holds all servers that a VM lists.
type list struct {
	Process  zinniatide.ProcessID      `json:"incarnation"`
	Sequence uint64                    `json:"sequence"`
	Servers  []zinniatide.Announcement `json:"servers"`
}

// newer reports whether a, which has just arrived, is a later state than b of the same
// VM. Of two processes, the one whose digest arrives later is the later one: a process
// that has been replaced has no links.
func (a digest) newer(b digest) bool {
	return a.Process != b.Process || a.Sequence > b.Sequence
}

// Validate checks an announcement. The error is a *zinniatide.Refusal with
// CodeBadRequest.
func Validate(a *zinniatide.Announcement) error {
	switch {
	case !validID(string(a.Server)):
		return badRequest("server must have 1 to %d visible characters", zinniatide.MaxIDLength)
	case !validID(string(a.Zone)):
		return badRequest("zone must have 1 to %d visible characters", zinniatide.MaxIDLength)
	case a.Incarnation == 0:
		return badRequest("incarnation must be above 0")
	case a.Slots == 0 || a.Slots > maxSlots:
		return badRequest("slots must be from 1 to %d", maxSlots)
	case a.Connections == 0:
		return badRequest("connections must be above 0")
	case len(a.Offers) > maxOffers:
		return badRequest("at most %d offers are allowed", maxOffers)
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return badRequest("address must be IP:port")
	}
	return validateOffers(a.Offers)
}

func validateOffers(offers []zinniatide.ServiceOffer) error {
	searchers := 0
	for i := range offers {
		if !validID(string(offers[i].Service)) {
			return badRequest("service must have 1 to %d visible characters", zinniatide.MaxIDLength)
		}
		for j := range i {
			if offers[j].Service == offers[i].Service {
				return badRequest("service %q is offered twice", offers[i].Service)
			}
		}
		searchers += len(offers[i].Searchers)
		if searchers > maxSearchers {
			return badRequest("at most %d searchers are allowed", maxSearchers)
		}
		for _, s := range offers[i].Searchers {
			if s.First >= s.End || s.End > zinniatide.KeySpace {
				return badRequest("range [%d, %d) is empty or outside the key space", s.First, s.End)
			}
		}
	}
	return nil
}

func validID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= zinniatide.MaxIDLength
}

func badRequest(format string, args ...any) error {
	return zinniatide.Refuse(zinniatide.CodeBadRequest, format, args...)
}
