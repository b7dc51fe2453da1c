package cataloger

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
)

// TestValidate guards against announcements that exceed the limits.
func TestValidate(t *testing.T) {
	tests := map[string]func(a *zinniatide.Announcement){
		"no server": func(a *zinniatide.Announcement) { a.Server = "" },
		"long server": func(a *zinniatide.Announcement) {
			a.Server = zinniatide.BackendServerID(strings.Repeat("x", zinniatide.MaxIDLength+1))
		},
		"control character":      func(a *zinniatide.Announcement) { a.Server = "a\nb" },
		"no zone":                func(a *zinniatide.Announcement) { a.Zone = "" },
		"no incarnation":         func(a *zinniatide.Announcement) { a.Incarnation = 0 },
		"no slots":               func(a *zinniatide.Announcement) { a.Slots = 0 },
		"many slots":             func(a *zinniatide.Announcement) { a.Slots = maxSlots + 1 },
		"no connections":         func(a *zinniatide.Announcement) { a.Connections = 0 },
		"host name":              func(a *zinniatide.Announcement) { a.Address = "host:80" },
		"no port":                func(a *zinniatide.Announcement) { a.Address = "10.0.0.1:0" },
		"many offers":            func(a *zinniatide.Announcement) { a.Offers = make([]zinniatide.ServiceOffer, maxOffers+1) },
		"unnamed service":        func(a *zinniatide.Announcement) { a.Offers[0].Service = "" },
		"service twice":          func(a *zinniatide.Announcement) { a.Offers = append(a.Offers, a.Offers[0]) },
		"many searchers":         func(a *zinniatide.Announcement) { a.Offers[0].Searchers = make([]zinniatide.Searcher, maxSearchers+1) },
		"empty range":            func(a *zinniatide.Announcement) { a.Offers[0].Searchers[0].First = 100 },
		"range out of key space": func(a *zinniatide.Announcement) { a.Offers[0].Searchers[0].End = zinniatide.KeySpace + 1 },
	}
	good := announcement("s1")
	if err := Validate(&good); err != nil {
		t.Errorf("got %v for a good announcement", err)
	}
	for name, change := range tests {
		a := announcement("s1")
		change(&a)
		if Validate(&a) == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// FuzzDecode guards against panics of the decoders, decoded messages with missing
// ids or invalid ranges, and announcements that change when they are encoded again.
func FuzzDecode(f *testing.F) {
	for _, value := range []any{announcement("s1"), list{1, 2, []zinniatide.Announcement{announcement("s1")}}, digest{1, 2}} {
		raw, err := cbor.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if a, err := decodeAnnouncement(raw); err == nil {
			checkDecoded(t, &a)
		}
		if l, err := decodeList(raw); err == nil {
			for i := range l.Servers {
				checkDecoded(t, &l.Servers[i])
			}
		}
	})
}

func checkDecoded(t *testing.T, a *zinniatide.Announcement) {
	if a.Server == "" || len(a.Server) > zinniatide.MaxIDLength || a.Slots == 0 || a.Connections == 0 {
		t.Errorf("accepted %+v", a)
	}
	for _, o := range a.Offers {
		for _, s := range o.Searchers {
			if s.First >= s.End || s.End > zinniatide.KeySpace {
				t.Errorf("accepted range %+v", s.KeyRange)
			}
		}
	}
	raw, err := cbor.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := decodeAnnouncement(raw); err != nil || !sameExceptLoad(a, &again) {
		t.Errorf("got %+v, %v after encoding %+v", again, err, a)
	}
}
