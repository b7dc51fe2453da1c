package forwarder

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
)

const (
	// maxItems bounds the sub-requests of one message, so that with the longest
	// ids and body it stays far below the link's limit.
	maxItems = 4096
	// maxRemaining is far above every deadline and keeps sums from overflowing.
	maxRemaining zinniatide.Millis = 3_600_000
)

// batchMessage is the body of KindSubRequest: sub-requests to the servers of
// one owner that share everything but server and range. It is sent as a call.
// Results travel as KindSubResult as they come, and the last ones of the batch
// in the reply, both as resultMessage.
type batchMessage struct {
	Batch       uint64                  `cbor:"1,keyasint"`
	Operation   zinniatide.Operation    `cbor:"2,keyasint,omitempty"`
	RequestID   zinniatide.RequestID    `cbor:"3,keyasint"`
	Service     zinniatide.ServiceID    `cbor:"4,keyasint"`
	Version     zinniatide.IndexVersion `cbor:"5,keyasint"`
	Tenant      zinniatide.TenantID     `cbor:"6,keyasint,omitempty"`
	Class       zinniatide.ClassID      `cbor:"7,keyasint,omitempty"`
	Fingerprint zinniatide.Fingerprint  `cbor:"8,keyasint,omitempty"`
	Remaining   zinniatide.Millis       `cbor:"9,keyasint"`
	Body        []byte                  `cbor:"10,keyasint,omitempty"`
	Items       []batchItem             `cbor:"11,keyasint"`
}

type batchItem struct {
	_      struct{} `cbor:",toarray"`
	Server zinniatide.BackendServerID
	First  uint32
	Last   uint32
	Wait   zinniatide.Millis // MaxWait
}

// resultMessage is the body of KindSubResult and of the reply to KindSubRequest.
type resultMessage struct {
	Items []resultItem `cbor:"1,keyasint"`
}

// resultItem is the result of item Index of a batch.
type resultItem struct {
	Batch    uint64          `cbor:"1,keyasint"`
	Index    int             `cbor:"2,keyasint,omitempty"`
	Outcome  outcome         `cbor:"3,keyasint"`
	Code     zinniatide.Code `cbor:"4,keyasint,omitempty"`
	Body     []byte          `cbor:"5,keyasint,omitempty"`
	Crashed  bool            `cbor:"6,keyasint,omitempty"`
	InFlight uint16          `cbor:"7,keyasint,omitempty"`
	Queued   uint16          `cbor:"8,keyasint,omitempty"`
}

// outcome is the index of an Outcome in outcomes. Decoding a number, unlike a
// string, costs no allocation.
type outcome uint8

// outcomes is part of the message format. It may only be appended to.
var outcomes = [...]zinniatide.Outcome{zinniatide.OutcomeUnknown, zinniatide.OutcomeDone, zinniatide.OutcomeNotRun}

func outcomeOf(o zinniatide.Outcome) outcome {
	return outcome(max(slices.Index(outcomes[:], o), 0))
}

// cancelMessage is the body of KindSubCancel.
type cancelMessage struct {
	Batch uint64 `cbor:"1,keyasint"`
	Index int    `cbor:"2,keyasint,omitempty"`
}

func decodeBatch(body []byte) (m batchMessage, err error) {
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, err
	}
	switch {
	case len(m.Items) == 0 || len(m.Items) > maxItems:
		return m, errors.New("batch without items, or with too many")
	case len(m.Body) > zinniatide.MaxRequestBody:
		return m, errors.New("request body is too large")
	case m.Remaining < 0 || m.Remaining > maxRemaining:
		return m, errors.New("remaining time is out of bounds")
	case m.Operation > zinniatide.OperationExecute:
		return m, errors.New("unknown operation")
	}
	return m, nil
}

func decodeResults(body []byte) (m resultMessage, err error) {
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, err
	}
	for i := range m.Items {
		if int(m.Items[i].Outcome) >= len(outcomes) {
			return m, errors.New("unknown outcome")
		}
	}
	return m, nil
}

func (i *resultItem) result() zinniatide.SubResult {
	return zinniatide.SubResult{
		Outcome: outcomes[i.Outcome], Code: i.Code, Body: i.Body, Crashed: i.Crashed, InFlight: i.InFlight, Queued: i.Queued,
	}
}

func newResultItem(batch uint64, index int, r zinniatide.SubResult) resultItem {
	return resultItem{
		Batch: batch, Index: index, Outcome: outcomeOf(r.Outcome), Code: r.Code, Body: r.Body,
		Crashed: r.Crashed, InFlight: r.InFlight, Queued: r.Queued,
	}
}

// request returns item i as a sub-request with a deadline on the local clock.
func (m *batchMessage) request(i int, now zinniatide.Millis) zinniatide.SubRequest {
	item := &m.Items[i]
	return zinniatide.SubRequest{
		Operation: m.Operation, RequestID: m.RequestID, Service: m.Service, Version: m.Version,
		Range:  zinniatide.KeyRange{First: item.First, Last: item.Last},
		Server: item.Server, Tenant: m.Tenant, Class: m.Class, Fingerprint: m.Fingerprint,
		Deadline: now + m.Remaining, MaxWait: item.Wait, Body: m.Body,
	}
}
