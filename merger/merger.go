package merger

import (
	"cmp"
	"container/heap"
	"slices"

	"zinniatide.example/zinniatide"
)

// Merger collects the answers of the shards of one index version. It belongs
// to one query and one goroutine.
type Merger struct {
	version  zinniatide.IndexVersion
	shards   []zinniatide.KeyRange
	answered []bool
	count    int
	keys     uint64
	limit    int
	total    uint64
	best     hitHeap
	scratch  []parsedHit
}

// New returns a Merger that keeps the best limit hits. Shards lists every shard
// of the version, also those that nobody serves.
func New(version zinniatide.IndexVersion, shards []zinniatide.KeyRange, limit int) *Merger {
	return &Merger{version: version, shards: shards, answered: make([]bool, len(shards)), limit: max(limit, 0)}
}

// Add merges the answer of a shard. It returns an error, and merges nothing,
// when the body does not parse, breaks its bounds or the shard was answered
// before. The Merger keeps references to body.
func (m *Merger) Add(shard int, body []byte) error {
	if m.answered[shard] {
		return zinniatide.Refuse(zinniatide.CodeBadAnswer, "shard %d was answered twice", shard)
	}
	p := parsers.Get()
	defer parsers.Put(p)
	total, hits, err := parse(body, m.scratch[:0], p)
	if err != nil {
		return err
	}
	m.scratch = hits
	m.answered[shard] = true
	m.count++
	m.keys += uint64(m.shards[shard].Last - m.shards[shard].First)
	m.total += total
	for i := range hits {
		m.offer(&hits[i])
	}
	clear(m.scratch) // the parser's memory must not be kept
	return nil
}

func (m *Merger) offer(h *parsedHit) {
	if m.limit == 0 {
		return
	}
	if len(m.best) == m.limit {
		worst := &m.best[0]
		if h.score < worst.Score || (h.score == worst.Score && string(h.id) >= worst.ID) {
			return
		}
		*worst = hit(h)
		heap.Fix(&m.best, 0)
		return
	}
	// heap.Push would allocate to box the hit.
	m.best = append(m.best, hit(h))
	heap.Fix(&m.best, len(m.best)-1)
}

func hit(h *parsedHit) zinniatide.Hit {
	return zinniatide.Hit{ID: string(h.id), Score: h.score, Document: h.document}
}

// Answered reports whether a shard has been merged.
func (m *Merger) Answered(shard int) bool { return m.answered[shard] }

// Keys returns the number of keys of the shards merged so far.
func (m *Merger) Keys() uint64 { return m.keys }

// Count returns the number of shards merged so far.
func (m *Merger) Count() int { return m.count }

// Answer returns what was merged so far, best hits first.
func (m *Merger) Answer() zinniatide.SearchAnswer {
	hits := slices.Clone([]zinniatide.Hit(m.best))
	slices.SortFunc(hits, compare)
	return zinniatide.SearchAnswer{
		Version: m.version,
		Coverage: zinniatide.Coverage{
			ShardsAnswered: m.count, ShardsTotal: len(m.shards),
			Ratio: float64(m.keys) / zinniatide.KeySpace,
		},
		Total: m.total,
		Hits:  hits,
	}
}

// compare orders hits by descending score, then by id.
func compare(a, b zinniatide.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// hitHeap has the worst hit on top.
type hitHeap []zinniatide.Hit

func (h hitHeap) Len() int           { return len(h) }
func (h hitHeap) Less(i, j int) bool { return compare(h[i], h[j]) > 0 }
func (h hitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *hitHeap) Push(x any)        { *h = append(*h, x.(zinniatide.Hit)) }

func (h *hitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
