package merger

import (
	"cmp"
	"container/heap"
	"slices"

	"zinniatide.example/zinniatide"
)

// Merger merges the answers of the shards of one index version for one search. It
// is not safe for concurrent use.
type Merger struct {
	version        zinniatide.IndexVersion
	shards         []zinniatide.KeyRange
	answered       []bool
	answeredShards int
	answeredKeys   uint64
	limit          int
	total          uint64
	topHits        hitHeap
	hitBuffer      []parsedHit
}

// New returns a Merger that keeps the limit best hits. shards must contain every
// shard of the version, including those that no server serves.
func New(version zinniatide.IndexVersion, shards []zinniatide.KeyRange, limit int) *Merger {
	return &Merger{version: version, shards: shards, answered: make([]bool, len(shards)), limit: max(limit, 0)}
}

// Add merges the answer of a shard. It returns an error and merges nothing if the
// body is invalid or exceeds the limits, or if the shard was already answered. The
// Merger keeps references to body.
func (m *Merger) Add(shard int, body []byte) error {
	if m.answered[shard] {
		return zinniatide.Refuse(zinniatide.CodeBadAnswer, "shard %d was answered twice", shard)
	}
	p := parsers.Get()
	defer parsers.Put(p)
	total, hits, err := parseAnswer(body, m.hitBuffer[:0], p)
	if err != nil {
		return err
	}
	m.hitBuffer = hits
	m.answered[shard] = true
	m.answeredShards++
	m.answeredKeys += uint64(m.shards[shard].End - m.shards[shard].First)
	m.total += total
	for i := range hits {
		m.addHit(&hits[i])
	}
	clear(m.hitBuffer) // ids point into the memory of the parser, which is reused
	return nil
}

func (m *Merger) addHit(h *parsedHit) {
	if m.limit == 0 {
		return
	}
	if len(m.topHits) == m.limit {
		worst := &m.topHits[0]
		if h.score < worst.Score || (h.score == worst.Score && string(h.id) >= worst.ID) {
			return
		}
		*worst = newHit(h)
		heap.Fix(&m.topHits, 0)
		return
	}
	// heap.Push would allocate to convert the hit to an interface value.
	m.topHits = append(m.topHits, newHit(h))
	heap.Fix(&m.topHits, len(m.topHits)-1)
}

func newHit(h *parsedHit) zinniatide.Hit {
	return zinniatide.Hit{ID: string(h.id), Score: h.score, Document: h.document}
}

// Answered reports whether the answer of a shard was merged.
func (m *Merger) Answered(shard int) bool { return m.answered[shard] }

// AnsweredKeys returns the number of keys of the merged shards.
func (m *Merger) AnsweredKeys() uint64 { return m.answeredKeys }

// AnsweredShards returns the number of merged shards.
func (m *Merger) AnsweredShards() int { return m.answeredShards }

// Answer returns the merged answer with the best hits first.
func (m *Merger) Answer() zinniatide.SearchAnswer {
	hits := slices.Clone([]zinniatide.Hit(m.topHits))
	slices.SortFunc(hits, compareHits)
	return zinniatide.SearchAnswer{
		Version: m.version,
		Coverage: zinniatide.Coverage{
			ShardsAnswered: m.answeredShards, ShardsTotal: len(m.shards),
			Ratio: float64(m.answeredKeys) / zinniatide.KeySpace,
		},
		Total: m.total,
		Hits:  hits,
	}
}

// compareHits orders hits by descending score, then by id.
func compareHits(a, b zinniatide.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// hitHeap implements heap.Interface with the worst hit at the top.
type hitHeap []zinniatide.Hit

func (h hitHeap) Len() int           { return len(h) }
func (h hitHeap) Less(i, j int) bool { return compareHits(h[i], h[j]) > 0 }
func (h hitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *hitHeap) Push(x any)        { *h = append(*h, x.(zinniatide.Hit)) }

func (h *hitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
