package checker

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"zinniatide.example/zinniatide"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func newChecker(t testing.TB) *Checker {
	t.Helper()
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// serviceTicket returns a valid ticket for one service, with old replaced in the
// text of the service.
func serviceTicket(old, replacement string) string {
	text := `{"versions": [{"version": 3, "shard-count": 4}], "slots": 2, "connections": 25,
		"cold-start": {"initial-rate": 5, "double-after": 20, "full-rate": 200},
		"classes": {"interactive": {"max-deadline-ms": 1000, "weight": 3}}, "tenants": {"t1": {"share": 1}}}`
	return `{"ticket": 1, "services": {"search": ` + strings.Replace(text, old, replacement, 1) + `}}`
}

// Guards against accepting invalid tickets, and against messages that do not tell
// the operator what is wrong.
func TestDecodeRefusals(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string // substrings of the message
	}{
		{"not JSON", `{"ticket": 1`, []string{"not JSON"}},
		{"two values", `{"ticket": 1, "vms": {"a": null}} {}`, []string{"invalid character"}},
		{"no entity", `{"ticket": 1}`, []string{"minProperties"}},
		{"number zero", `{"ticket": 0, "vms": {"a": null}}`, []string{"ticket", "minimum"}},
		{"fraction", `{"ticket": 1.5, "vms": {"a": null}}`, []string{"ticket"}},
		{"unknown field", `{"ticket": 1, "zones": {}}`, []string{"zones"}},
		{"field in other case", `{"ticket": 1, "VMs": {"a": null}}`, []string{"VMs"}},
		{"key twice", `{"ticket": 1, "vms": {"a": null, "a": {"state": "in"}}}`, []string{"vms.a", "twice"}},
		{"zone state", `{"ticket": 1, "availability-zones": {"a": {"state": "leaving"}}}`, []string{"availability-zones.a.state"}},
		{"empty id", `{"ticket": 1, "vms": {"": null}}`, []string{"minLength"}},
		{"long id", `{"ticket": 1, "vms": {"` + strings.Repeat("x", 129) + `": null}}`, []string{"maxLength"}},
		{"neither shard form", serviceTicket(`, "shard-count": 4`, ``), []string{"version 3", "exactly one of"}},
		{"both shard forms", serviceTicket(`"shard-count": 4`, `"shard-count": 4, "shard-bounds": [0]`), []string{"exactly one of"}},
		{"bounds from 1", serviceTicket(`"shard-count": 4`, `"shard-bounds": [1, 9]`), []string{"start at 1"}},
		{"bounds not ascending", serviceTicket(`"shard-count": 4`, `"shard-bounds": [0, 9, 9]`), []string{"9 follows 9"}},
		{"bound outside the key space", serviceTicket(`"shard-count": 4`, `"shard-bounds": [0, 65536]`), []string{"shard-bounds.1", "65,535"}},
		{"version twice", serviceTicket(`[{"version": 3, "shard-count": 4}`, `[{"version": 3, "shard-count": 4}, {"version": 3, "shard-count": 5}`), []string{"version 3 appears twice"}},
		{"deadline above the maximum", serviceTicket(`1000`, `3501`), []string{"class interactive", "3501", "3500"}},
		{"initial rate above full rate", serviceTicket(`"initial-rate": 5`, `"initial-rate": 500`), []string{"initial-rate 500"}},
		{"several problems", serviceTicket(`"slots": 2, "connections": 25`, `"slots": 0, "connections": 0, "other": 1`),
			[]string{"services.search.slots", "services.search.connections", "other"}},
		{"zero weight and share", serviceTicket(`"weight": 3}}, "tenants": {"t1": {"share": 1}}`, `"weight": 0}}, "tenants": {"t1": {"share": 0}}`),
			[]string{"classes.interactive.weight", "tenants.t1.share"}},
		{"schema and semantics", strings.Replace(serviceTicket(`1000`, `5000`), `"ticket": 1`, `"ticket": 1, "extra": 1`, 1), []string{"extra", "5000"}},
		{"control VM twice", `{"ticket": 1, "control-vms": [{"vm": "c", "peer-address": "h"}, {"vm": "c", "peer-address": "h:1"}]}`, []string{"appears twice", "not host:port"}},
		{"empty control set", `{"ticket": 1, "control-vms": []}`, []string{"control-vms", "minItems"}},
	}
	c := newChecker(t)
	for _, test := range cases {
		_, _, err := c.Decode([]byte(test.text))
		var refusal *zinniatide.Refusal
		if !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeBadRequest || refusal.Outcome != zinniatide.OutcomeNotRun {
			t.Errorf("%s: got error %v, want bad-request", test.name, err)
			continue
		}
		for _, want := range test.want {
			if !strings.Contains(refusal.Message, want) {
				t.Errorf("%s: message %q does not contain %q", test.name, refusal.Message, want)
			}
		}
	}
	if _, _, err := c.Decode(make([]byte, MaxTicketSize+1)); !strings.Contains(err.Error(), string(zinniatide.CodeTooLarge)) {
		t.Errorf("large ticket: got %v, want too-large", err)
	}
	if _, _, err := c.Decode([]byte(serviceTicket("", ""))); err != nil {
		t.Errorf("valid service: %v", err)
	}
}

// Guards against a conflict when a ticket is resent with different JSON
// formatting, and against equal digests of different tickets.
func TestDigestIsCanonical(t *testing.T) {
	c := newChecker(t)
	same := []string{
		`{"ticket": 1, "vms": {"a": {"state": "in"}, "b": null}}`,
		"{\"vms\":{\"b\":null,\n\"a\":{\"state\":\"in\"}},\"ticket\":1}",
		`{"ticket": 1, "vms": {"\u0061": {"state": "\u0069n"}, "b": null}}`,
	}
	_, want, err := c.Decode([]byte(same[0]))
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range same[1:] {
		if _, got, err := c.Decode([]byte(text)); got != want || err != nil {
			t.Errorf("digest of %s is %s, want %s (error %v)", text, got, want, err)
		}
	}
	for _, text := range []string{`{"ticket": 2, "vms": {"a": {"state": "in"}, "b": null}}`, `{"ticket": 1, "vms": {"a": {"state": "in"}}}`} {
		if _, got, err := c.Decode([]byte(text)); got == want || err != nil {
			t.Errorf("digest of %s equals that of %s (error %v)", text, same[0], err)
		}
	}
}

// Guards against dry runs that omit a change or report unchanged values.
func TestDifferenceGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/difference/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files (error %v)", err)
	}
	c := newChecker(t)
	for _, path := range files {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		before := &zinniatide.Configuration{Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{},
			AvailabilityZones: map[zinniatide.ZoneID]zinniatide.StateSetting{}}
		for _, file := range archive.Files {
			ticket, _, err := c.Decode(file.Data)
			switch file.Name {
			case "before":
				for id, s := range ticket.Services {
					before.Services[id] = *s
				}
				for id, s := range ticket.AvailabilityZones {
					before.AvailabilityZones[id] = *s
				}
				before.ControlVMs = ticket.ControlVMs
			case "ticket":
				got := strings.Join(Difference(before, ticket), "\n") + "\n"
				last := &archive.Files[len(archive.Files)-1]
				if *update {
					last.Data = []byte(got)
					if err := os.WriteFile(path, txtar.Format(archive), 0o644); err != nil {
						t.Fatal(err)
					}
				} else if want := string(last.Data); got != want {
					t.Errorf("%s: got\n%swant\n%s", path, got, want)
				}
			default:
				continue
			}
			if err != nil {
				t.Fatalf("%s: %s: %v", path, file.Name, err)
			}
		}
	}
}

// Guards against tickets that crash the decoder, and against accepted tickets
// that violate invariants on which other packages rely.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{serviceTicket("", ""), serviceTicket(`"shard-count": 4`, `"shard-bounds": [0, 5]`), `{"ticket": 1, "vms": {"a": null}}`,
		`{"ticket": 1, "control-vms": [{"vm": "c", "peer-address": "h:1"}]}`, `{"ticket": 1e0, "vms": {"a": null}}`, `[[[[`, ``} {
		f.Add([]byte(text))
	}
	c := newChecker(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		ticket, digest, err := c.Decode(raw)
		if err != nil {
			var refusal *zinniatide.Refusal
			if !errors.As(err, &refusal) || refusal.Message == "" {
				t.Fatalf("got %v, want a refusal with a message", err)
			}
			return
		}
		if ticket.Number == 0 || digest == (Digest{}) || len(Entities(ticket)) == 0 {
			t.Fatalf("accepted ticket %+v with digest %s, want a number, a digest and entities", ticket, digest)
		}
		for _, s := range ticket.Services {
			if s == nil {
				continue
			}
			for i := range s.Versions {
				next := uint32(0)
				for _, shard := range s.Versions[i].Shards() {
					if shard.First != next || shard.End <= shard.First {
						t.Fatalf("shards of version %+v have a gap, an overlap or an empty range", s.Versions[i])
					}
					next = shard.End
				}
				if next != zinniatide.KeySpace {
					t.Fatalf("shards of version %+v end at %d, want the end of the key space", s.Versions[i], next)
				}
			}
		}
	})
}

// Guards against documented examples that fail validation.
func TestDocumentedTicketsAreValid(t *testing.T) {
	text, err := os.ReadFile("../docs/tickets.md")
	if err != nil {
		t.Fatal(err)
	}
	c, found := newChecker(t), 0
	for _, block := range strings.Split(string(text), "\n\n") {
		if strings.HasPrefix(block, `    {"ticket"`) {
			found++
			if _, _, err := c.Decode([]byte(block)); err != nil {
				t.Errorf("%v in\n%s", err, block)
			}
		}
	}
	if found < 5 {
		t.Errorf("found %d examples, want 5 or more", found)
	}
}
