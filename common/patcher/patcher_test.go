package patcher

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// Guards against a document that changes on its way, and against patches as large as
// the document.
func TestPatchRestoresDocument(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	item := func() string {
		return `{"name":"` + strings.Repeat("x", random.IntN(40)) + string(rune('a'+random.IntN(26))) + `"}`
	}
	items := []string{}
	for range 400 {
		items = append(items, item())
	}
	document := func() []byte { return []byte(`{"routes":[` + strings.Join(items, ",") + `],"version":` + item() + `}`) }
	for range 200 {
		base := document()
		for range random.IntN(4) {
			i := random.IntN(len(items))
			switch random.IntN(4) {
			case 0:
				items = append(items[:i], items[i+1:]...)
			case 1:
				items[i] = item()
			case 2:
				j := random.IntN(len(items))
				items[i], items[j] = items[j], items[i]
			default:
				items = append(items, item())
			}
		}
		next := document()
		p := New(base, next)
		got, err := p.Apply(base)
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("got %q, %v, want %q", got, err, next)
		}
		size := 0
		for _, s := range p.Segments {
			size += len(s.Data) + 10
		}
		if want := len(next) / 10; size > want {
			t.Errorf("got a patch of about %d bytes for a document of %d, want at most %d", size, len(next), want)
		}
	}
}

// Guards against patches from a damaged message that end the process or take all of
// its memory.
func TestInvalidPatches(t *testing.T) {
	base := []byte("0123456789")
	for name, p := range map[string]Patch{
		"offset behind the end": {Segments: []segment{{Offset: 11}}},
		"length behind the end": {Segments: []segment{{Offset: 5, Length: 6}}},
		"sum overflows":         {Segments: []segment{{Offset: 1, Length: 0xffffffff}}},
		"too large":             {Segments: make([]segment, MaxSize/10+1)},
	} {
		if name == "too large" {
			for i := range p.Segments {
				p.Segments[i].Length = 10
			}
		}
		if got, err := p.Apply(base); err == nil {
			t.Errorf("%s: got %d bytes, want an error", name, len(got))
		}
	}
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"a":{"b":1},"c":{}}`), []byte(`{"a":{"b":2},"c":{}}`))
	f.Add([]byte(""), []byte("}}}"))
	f.Add([]byte("}}"), []byte(""))
	f.Fuzz(func(t *testing.T, base, next []byte) {
		p := New(base, next)
		if got, err := p.Apply(base); err != nil || !bytes.Equal(got, next) {
			t.Errorf("got %q, %v, want %q", got, err, next)
		}
	})
}

// Guards against a patch that holds a whole object of a document although one element of
// a long list in it has changed, and against parts of such objects in the wrong place.
func TestPatchOfLongLists(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1)) //nolint:gosec // fixed seed
	lists := make([][]string, 8)
	for i := range lists {
		for range 500 {
			lists[i] = append(lists[i], strings.Repeat(string(rune('a'+random.IntN(26))), 1+random.IntN(40)))
		}
	}
	document := func() []byte {
		var out []string
		for _, list := range lists {
			out = append(out, `{"keys":["`+strings.Join(list, `","`)+`"]}`)
		}
		return []byte("[" + strings.Join(out, ",") + "]")
	}
	for range 200 {
		base := document()
		list := &lists[random.IntN(len(lists))]
		i := random.IntN(len(*list))
		switch random.IntN(3) {
		case 0:
			*list = slices.Delete(*list, i, i+1)
		case 1:
			*list = slices.Insert(*list, i, "new")
		default:
			(*list)[i] = strings.Repeat("n", random.IntN(100))
		}
		next := document()
		p := New(base, next)
		got, err := p.Apply(base)
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("got %q, %v, want %q", got, err, next)
		}
		size := 0
		for _, s := range p.Segments {
			size += len(s.Data) + 10
		}
		if want := 2 * (100 + 2*minCopied); size > want {
			t.Errorf("got a patch of about %d bytes for one changed element, want at most %d", size, want)
		}
	}
}
