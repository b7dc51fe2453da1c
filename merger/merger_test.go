package merger_test

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/merger"
)

func shards(n uint32) []zinniatide.KeyRange {
	v := zinniatide.IndexVersionSetting{ShardCount: n}
	return v.Shards()
}

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// Guards against a body being merged in part, or being merged although it is
// invalid or exceeds the limits.
func TestInvalidAnswersAreNotMerged(t *testing.T) {
	tooManyHits := strings.Repeat(`{"id":"a","score":1},`, merger.MaxHits) + `{"id":"a","score":1}`
	for name, body := range map[string]string{
		"empty":              ``,
		"truncated":          `{"total":2,"hits":[{"id":"a","score":1,"document":{}}`,
		"trailing data":      `{"total":0,"hits":[]}{}`,
		"no object":          `[]`,
		"no total":           `{"hits":[]}`,
		"negative total":     `{"total":-1,"hits":[]}`,
		"fractional total":   `{"total":1.5,"hits":[]}`,
		"total too large":    `{"total":9007199254740993,"hits":[]}`,
		"no hits":            `{"total":1}`,
		"hits no array":      `{"total":1,"hits":{}}`,
		"more than total":    `{"total":1,"hits":[{"id":"a","score":1},{"id":"b","score":1}]}`,
		"too many":           `{"total":99999,"hits":[` + tooManyHits + `]}`,
		"hit no object":      `{"total":1,"hits":[1]}`,
		"second hit bad":     `{"total":2,"hits":[{"id":"a","score":1},{"id":"b","score":"1"}]}`,
		"empty id":           `{"total":1,"hits":[{"id":"","score":1}]}`,
		"id no string":       `{"total":1,"hits":[{"id":1,"score":1}]}`,
		"id too long":        `{"total":1,"hits":[{"id":"` + strings.Repeat("a", merger.MaxHitIDLength+1) + `","score":1}]}`,
		"no score":           `{"total":1,"hits":[{"id":"a"}]}`,
		"score out of range": `{"total":1,"hits":[{"id":"a","score":1e999}]}`,
		"score NaN":          `{"total":1,"hits":[{"id":"a","score":NaN}]}`,
		"escaped key":        `{"total":1,"hits":[{"id":"a","score":1,"d\u006fcument":{}}]}`,
		"too deep":           `{"total":1,"hits":[{"id":"a","score":1,"document":` + strings.Repeat("[", 500) + strings.Repeat("]", 500) + `}]}`,
		"too large":          `{"total":1,"hits":[],"pad":"` + strings.Repeat("x", zinniatide.MaxBackendAnswer) + `"}`,
	} {
		m := merger.New(1, shards(2), 10)
		if err := m.Add(0, []byte(body)); err == nil {
			t.Errorf("%s: got no error", name)
		}
		if got := m.Answer(); got.Coverage.ShardsAnswered != 0 || got.Total != 0 || len(got.Hits) != 0 {
			t.Errorf("%s: got %+v, want nothing merged", name, got)
		}
		if err := m.Add(0, []byte(`{"total":0,"hits":[]}`)); err != nil {
			t.Errorf("%s: a valid answer afterwards got %v", name, err)
		}
	}
}

// Guards against documents that are re-encoded, and against mistaking a key in a
// nested object or a string for a key of the hit.
func TestDocumentsArePreserved(t *testing.T) {
	documents := []string{
		`{ "a" : [1, 2.50e1,"}]\"\\"] , "document":{"hits":[]}}`, `"text ] \u00e9 \""`, `12.0`, `null`, `[ ]`, `true`, `{}`,
	}
	var hits []string
	for i, d := range documents {
		hits = append(hits, fmt.Sprintf(` { "x" : {"document":0} ,"score":%d, "document" : %s , "id":"h%d","hits":[]}`, len(documents)-i, d, i))
	}
	body := `{"other":{"hits":[{"document":1}]},"total":7,` + "\n" + `"hits" : [` + strings.Join(hits, ",\t") + ` ] }`
	m := merger.New(1, shards(1), 10)
	if err := m.Add(0, []byte(body)); err != nil {
		t.Fatal(err)
	}
	answer := m.Answer()
	for i, want := range documents {
		if got := string(answer.Hits[i].Document); got != want || answer.Hits[i].ID != fmt.Sprintf("h%d", i) {
			t.Errorf("hit %d: got id %s, document %s, want %s", i, answer.Hits[i].ID, got, want)
		}
	}
}

// Guards against a coverage that ignores shards without a server, and against
// counting a shard twice.
func TestCoverage(t *testing.T) {
	setting := zinniatide.IndexVersionSetting{ShardBounds: []uint32{0, 1 << 14, 1 << 15}}
	m := merger.New(1, setting.Shards(), 10)
	for range 2 {
		_ = m.Add(0, []byte(`{"total":3,"hits":[]}`))
	}
	got := m.Answer()
	if want := (zinniatide.Coverage{ShardsAnswered: 1, ShardsTotal: 3, Ratio: 0.25}); got.Coverage != want || got.Total != 3 {
		t.Errorf("got %+v, total %d, want %+v, total 3", got.Coverage, got.Total, want)
	}
}

// Guards against a merge that depends on the order of the answers or loses hits.
func TestMergeMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "shards")
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		m := merger.New(1, shards(uint32(n)), limit)
		var all []zinniatide.Hit
		for _, shard := range rapid.Permutation(sequence(n)).Draw(t, "order") {
			hits := make([]zinniatide.Hit, rapid.IntRange(0, 10).Draw(t, "hits"))
			for i := range hits {
				hits[i] = zinniatide.Hit{ID: fmt.Sprintf("%d-%d", shard, i), Score: float64(rapid.IntRange(-3, 3).Draw(t, "score"))}
			}
			all = append(all, hits...)
			body, _ := json.Marshal(map[string]any{"total": len(hits), "hits": hits})
			if err := m.Add(shard, body); err != nil {
				t.Fatal(err)
			}
		}
		slices.SortFunc(all, func(a, b zinniatide.Hit) int {
			return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
		})
		got, want := m.Answer(), all[:min(limit, len(all))]
		if int(got.Total) != len(all) || len(got.Hits) != len(want) {
			t.Fatalf("got total %d, %d hits, want %d, %d", got.Total, len(got.Hits), len(all), len(want))
		}
		for i := range want {
			if got.Hits[i].ID != want[i].ID || got.Hits[i].Score != want[i].Score {
				t.Fatalf("hit %d: got %v, want %v", i, got.Hits[i], want[i])
			}
		}
	})
}

func sequence(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

func BenchmarkMerge84Shards(b *testing.B) {
	bodies := make([][]byte, 84)
	for i := range bodies {
		var hits []zinniatide.Hit
		for j := range 10 {
			hits = append(hits, zinniatide.Hit{ID: fmt.Sprintf("doc-%d-%d", i, j), Score: float64((i*31+j*17)%97) / 7})
		}
		body, _ := json.Marshal(map[string]any{"total": 1000, "hits": hits})
		bodies[i] = []byte(strings.ReplaceAll(string(body), `"score"`, `"document":{"title":"a title of some length","price":12.5},"score"`))
	}
	ranges := shards(84)
	b.ReportAllocs()
	for b.Loop() {
		m := merger.New(1, ranges, 10)
		for i := range bodies {
			if err := m.Add(i, bodies[i]); err != nil {
				b.Fatal(err)
			}
		}
		if len(m.Answer().Hits) != 10 {
			b.Fatal("hits are missing")
		}
	}
}
