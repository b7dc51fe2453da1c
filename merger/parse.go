// Package merger parses the answers of backend servers and merges them.
package merger

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"

	"zinniatide.example/zinniatide"
)

// Bounds of one backend answer. An answer beyond them counts as not answered.
const (
	// MaxHits is the most hits that one backend server may return.
	MaxHits = 10000
	// MaxHitID is the longest id of a hit, in bytes.
	MaxHitID = 512
	// MaxTotal is the highest number of matches that one shard may claim. It is
	// the largest integer that JSON parsers of callers read without loss.
	MaxTotal = 1 << 53
)

var parsers fastjson.ParserPool

// parsedHit refers to the body it was parsed from.
type parsedHit struct {
	id       []byte
	score    float64
	document []byte
}

// parse reads a whole body. It returns an error unless every part of the body
// is within its bounds, so that a body is merged as a whole or not at all.
func parse(body []byte, hits []parsedHit, p *fastjson.Parser) (total uint64, _ []parsedHit, err error) {
	if len(body) > zinniatide.MaxBackendAnswer {
		return 0, nil, fmt.Errorf("answer has %d bytes, at most %d are allowed", len(body), zinniatide.MaxBackendAnswer)
	}
	root, err := p.ParseBytes(body)
	if err != nil {
		return 0, nil, fmt.Errorf("answer is not JSON: %w", err)
	}
	value := root.Get("total")
	if value == nil {
		return 0, nil, fmt.Errorf("answer has no total")
	}
	if total, err = value.Uint64(); err != nil || total > MaxTotal {
		return 0, nil, fmt.Errorf("total of the answer is not an integer from 0 to %d", uint64(MaxTotal))
	}
	value = root.Get("hits")
	if value == nil {
		return 0, nil, fmt.Errorf("answer has no hits")
	}
	items, err := value.Array()
	if err != nil {
		return 0, nil, fmt.Errorf("hits of the answer: %w", err)
	}
	if len(items) > MaxHits || uint64(len(items)) > total {
		return 0, nil, fmt.Errorf("answer has %d hits of a total of %d, at most %d are allowed", len(items), total, MaxHits)
	}
	raw := rawHits(body)
	for i, item := range items {
		h, err := parseHit(item)
		if err != nil {
			return 0, nil, fmt.Errorf("hit %d of the answer: %w", i, err)
		}
		if h.document = raw.next(); h.document == nil && item.Get("document") != nil {
			return 0, nil, fmt.Errorf("hit %d of the answer has an escaped key", i)
		}
		hits = append(hits, h)
	}
	return total, hits, nil
}

func parseHit(item *fastjson.Value) (parsedHit, error) {
	var h parsedHit
	if item.Type() != fastjson.TypeObject {
		return h, fmt.Errorf("is not an object")
	}
	h.id = item.GetStringBytes("id")
	if len(h.id) == 0 || len(h.id) > MaxHitID {
		return h, fmt.Errorf("id must be a string of 1 to %d bytes", MaxHitID)
	}
	value := item.Get("score")
	if value == nil {
		return h, fmt.Errorf("has no score")
	}
	score, err := value.Float64()
	if err != nil || math.IsNaN(score) || math.IsInf(score, 0) {
		return h, fmt.Errorf("score is not a finite number")
	}
	h.score = score
	return h, nil
}
