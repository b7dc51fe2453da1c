// Package merger parses the answers of backend servers and merges them into the
// answer to a search.
package merger

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"

	"zinniatide.example/zinniatide"
)

// Limits of the answer of one backend server. An answer that exceeds them is
// rejected.
const (
	// MaxHits is the maximum number of hits.
	MaxHits = 10000
	// MaxHitIDLength is the maximum length of the id of a hit, in bytes.
	MaxHitIDLength = 512
	// MaxTotal is the maximum number of matches. Callers whose JSON parsers read
	// numbers as float64 represent integers exactly up to this value.
	MaxTotal = 1 << 53
)

var parsers fastjson.ParserPool

// parsedHit is a hit whose id and document point into memory of the parser and the
// body.
type parsedHit struct {
	id       []byte
	score    float64
	document []byte
}

// parseAnswer parses a body and appends its hits to hits. It returns an error
// unless the complete body is valid and within the limits, so that a body is never
// merged in part.
func parseAnswer(body []byte, hits []parsedHit, p *fastjson.Parser) (total uint64, _ []parsedHit, err error) {
	if len(body) > zinniatide.MaxBackendAnswer {
		return 0, nil, fmt.Errorf("answer has %d bytes, at most %d are allowed", len(body), zinniatide.MaxBackendAnswer)
	}
	root, err := p.ParseBytes(body)
	if err != nil {
		return 0, nil, fmt.Errorf("answer is not valid JSON: %w", err)
	}
	value := root.Get("total")
	if value == nil {
		return 0, nil, fmt.Errorf("answer has no member \"total\"")
	}
	if total, err = value.Uint64(); err != nil || total > MaxTotal {
		return 0, nil, fmt.Errorf("\"total\" is not an integer from 0 to %d", uint64(MaxTotal))
	}
	value = root.Get("hits")
	if value == nil {
		return 0, nil, fmt.Errorf("answer has no member \"hits\"")
	}
	items, err := value.Array()
	if err != nil {
		return 0, nil, fmt.Errorf("\"hits\" is not an array: %w", err)
	}
	if len(items) > MaxHits || uint64(len(items)) > total {
		return 0, nil, fmt.Errorf("answer has %d hits, at most %d and not more than its total of %d are allowed", len(items), MaxHits, total)
	}
	documents := newDocumentScanner(body)
	for i, item := range items {
		h, err := parseHit(item)
		if err != nil {
			return 0, nil, fmt.Errorf("invalid hit %d: %w", i, err)
		}
		if h.document = documents.nextDocument(); h.document == nil && item.Get("document") != nil {
			return 0, nil, fmt.Errorf("invalid hit %d: key \"document\" is written with escape sequences", i)
		}
		hits = append(hits, h)
	}
	return total, hits, nil
}

func parseHit(item *fastjson.Value) (parsedHit, error) {
	var h parsedHit
	if item.Type() != fastjson.TypeObject {
		return h, fmt.Errorf("not an object")
	}
	h.id = item.GetStringBytes("id")
	if len(h.id) == 0 || len(h.id) > MaxHitIDLength {
		return h, fmt.Errorf("\"id\" is not a string of 1 to %d bytes", MaxHitIDLength)
	}
	value := item.Get("score")
	if value == nil {
		return h, fmt.Errorf("no member \"score\"")
	}
	score, err := value.Float64()
	if err != nil || math.IsNaN(score) || math.IsInf(score, 0) {
		return h, fmt.Errorf("\"score\" is not a finite number")
	}
	h.score = score
	return h, nil
}
