package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	"zinniatide.example/zinniatide"
)

// fuzzBody checks the properties that every decoder has: it does not panic, it
// accepts only a single JSON object, and the decoded values do not alias the
// body.
func fuzzBody(f *testing.F, seeds []string, decode func(body []byte) (decoded any, err error)) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		decoded, err := decode(body)
		if err != nil {
			if err.Error() == "" {
				t.Error("error without a message")
			}
			return
		}
		if !json.Valid(body) || bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
			t.Fatalf("accepted %q", body)
		}
		before, err := json.Marshal(decoded)
		if err != nil {
			t.Fatal(err)
		}
		for i := range body {
			body[i] = 'X'
		}
		if after, _ := json.Marshal(decoded); !bytes.Equal(before, after) {
			t.Errorf("decoded values changed with the body: %s, before %s", after, before)
		}
	})
}

// Guards against search bodies that make the decoder panic or are accepted
// although they are invalid.
func FuzzSearch(f *testing.F) {
	fuzzBody(f, []string{
		`{"request-id":"r1","service":"s","tenant":"t","class":"c","deadline-ms":5,"limit":3,"query":{"a":[1]}}`,
		`{"request-id":"r1","service":"s","tenant":"t","class":"c","deadline-ms":5,"query":{}} `,
		`{"request-id":null}`, `{"a":1}`, `[`, `{"limit":1e400}`, `{"query":"\ud800"}`, "", `{"request-id":"r1"`,
	}, func(body []byte) (any, error) {
		c, limit, query, err := decodeSearch(body)
		return []any{c.id, c.service, c.workspace, c.class, c.deadline, limit, json.RawMessage(query)}, err
	})
}

// Guards against execute bodies that make the decoder panic, or that are accepted
// with an invalid expiry in the request id or a key out of range.
func FuzzExecute(f *testing.F) {
	fuzzBody(f, []string{
		`{"request-id":"1700000060000-abcdefgh","service":"s","tenant":"t","class":"c","deadline-ms":5,"key":1,"body":{"a":1}}`,
		`{"request-id":"-1-abcdefgh","service":"s","tenant":"t","class":"c","deadline-ms":5,"key":65536,"body":{}}`,
		`{"key":-1}`, `{"key":4294967296}`, `{"body":{`, `{}`,
	}, func(body []byte) (any, error) {
		c, key, expires, payload, err := decodeExecute(body)
		if err == nil && (expires <= 0 || key >= zinniatide.KeySpace) {
			panic("accepted an expiry or key out of range")
		}
		return []any{c.id, c.service, c.workspace, c.class, c.deadline, key, expires, json.RawMessage(payload)}, err
	})
}

// Guards against announcements that make the decoder panic or are accepted with
// an invalid key range.
func FuzzAnnounce(f *testing.F) {
	fuzzBody(f, []string{
		`{"server":"b","incarnation":4,"zone":"z","address":"10.0.0.9:80","slots":2,"connections":25,"draining":false,"offers":[{"service":"s","searchers":[{"version":7,"first":0,"last":65536}]}],"load":{"busy":1,"queue":2,"warm":true}}`,
		`{"server":"b","incarnation":4,"zone":"z","address":"[::1]:80","slots":2,"connections":25,"offers":[]}`,
		`{"offers":[{"searchers":[{"first":9,"last":1}]}]}`, `{"offers":[[]]}`, `{"load":7}`, `{"offers":{}}`,
	}, func(body []byte) (any, error) {
		a, err := decodeAnnouncement(body)
		for _, offer := range a.Offers {
			for _, s := range offer.Searchers {
				if err == nil && (s.First >= s.End || s.End > zinniatide.KeySpace) {
					panic("accepted an invalid key range")
				}
			}
		}
		return a, err
	})
}
