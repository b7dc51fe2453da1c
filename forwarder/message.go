package forwarder

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"zinniatide.example/zinniatide"
)

const (
	// maxBatchItems limits the sub-requests of a message, so that its size stays far
	// below the limit of a link even with the longest ids and body.
	maxBatchItems = 4096
	// maxRemainingTime is far above any valid deadline. It prevents integer overflow
	// when a deadline is calculated from a received value.
	maxRemainingTime zinniatide.Millis = 3_600_000
)

// batchMessage is the body of KindSubRequest: sub-requests to the servers of one
// owner that differ only in server, range and maximum wait. It is sent as a call.
// Results are sent as KindSubResult as they become available, and the last ones of
// the batch in the reply to the call. Both use resultMessage.
type batchMessage struct {
	Batch       uint64                  `cbor:"1,keyasint"`
	Operation   zinniatide.Operation    `cbor:"2,keyasint,omitempty"`
	RequestID   zinniatide.RequestID    `cbor:"3,keyasint"`
	Service     zinniatide.ServiceID    `cbor:"4,keyasint"`
	Version     zinniatide.IndexVersion `cbor:"5,keyasint"`
	Workspace   zinniatide.WorkspaceID  `cbor:"6,keyasint,omitempty"`
	Class       zinniatide.ClassID      `cbor:"7,keyasint,omitempty"`
	Fingerprint zinniatide.Fingerprint  `cbor:"8,keyasint,omitempty"`
	Remaining   zinniatide.Millis       `cbor:"9,keyasint"`
	Body        []byte                  `cbor:"10,keyasint,omitempty"`
	Items       []batchItem             `cbor:"11,keyasint"`
	// Process is the process that numbered Batch.
	Process zinniatide.ProcessID `cbor:"12,keyasint"`
}

type batchItem struct {
	_        struct{} `cbor:",toarray"`
	Server   zinniatide.BackendServerID
	FirstKey uint32
	LastKey  uint32
	MaxWait  zinniatide.Millis
}

// resultMessage is the body of KindSubResult and of the reply to KindSubRequest.
type resultMessage struct {
	Items []resultItem `cbor:"1,keyasint"`
	// Process is the process that sent the batches.
	Process zinniatide.ProcessID `cbor:"2,keyasint"`
}

// resultItem is the result of the item of a batch that has the given index.
type resultItem struct {
	Batch    uint64          `cbor:"1,keyasint"`
	Index    int             `cbor:"2,keyasint,omitempty"`
	Outcome  outcomeCode     `cbor:"3,keyasint"`
	Code     zinniatide.Code `cbor:"4,keyasint,omitempty"`
	Body     []byte          `cbor:"5,keyasint,omitempty"`
	Crashed  bool            `cbor:"6,keyasint,omitempty"`
	InFlight uint16          `cbor:"7,keyasint,omitempty"`
	Queued   uint16          `cbor:"8,keyasint,omitempty"`
}

// outcomeCode is the index of an Outcome in outcomesByCode. A number is sent because,
// unlike a string, it is decoded without an allocation.
type outcomeCode uint8

// outcomesByCode is part of the message format. Only append to it.
var outcomesByCode = [...]zinniatide.Outcome{zinniatide.OutcomeUnknown, zinniatide.OutcomeDone, zinniatide.OutcomeNotRun}

func encodeOutcome(o zinniatide.Outcome) outcomeCode {
	return outcomeCode(max(slices.Index(outcomesByCode[:], o), 0))
}

// cancelMessage is the body of KindSubCancel.
type cancelMessage struct {
	Process zinniatide.ProcessID `cbor:"3,keyasint"`
	Batch   uint64               `cbor:"1,keyasint"`
	Index   int                  `cbor:"2,keyasint,omitempty"`
}

func decodeBatch(body []byte) (m batchMessage, err error) {
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, err
	}
	switch {
	case len(m.Items) == 0 || len(m.Items) > maxBatchItems:
		return m, errors.New("batch without items, or with too many")
	case len(m.Body) > zinniatide.MaxRequestBody:
		return m, errors.New("request body is too large")
	case m.Remaining < 0 || m.Remaining > maxRemainingTime:
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
		if int(m.Items[i].Outcome) >= len(outcomesByCode) {
			return m, errors.New("unknown outcome")
		}
	}
	return m, nil
}

func (i *resultItem) subResult() zinniatide.SubResult {
	return zinniatide.SubResult{
		Outcome: outcomesByCode[i.Outcome], Code: i.Code, Body: i.Body, Crashed: i.Crashed, InFlight: i.InFlight, Queued: i.Queued,
	}
}

func newResultItem(batch uint64, index int, r zinniatide.SubResult) resultItem {
	return resultItem{
		Batch: batch, Index: index, Outcome: encodeOutcome(r.Outcome), Code: r.Code, Body: r.Body,
		Crashed: r.Crashed, InFlight: r.InFlight, Queued: r.Queued,
	}
}

// subRequest returns item i as a sub-request whose deadline refers to the local clock.
func (m *batchMessage) subRequest(i int, now zinniatide.Millis) zinniatide.SubRequest {
	item := &m.Items[i]
	return zinniatide.SubRequest{
		Operation: m.Operation, RequestID: m.RequestID, Service: m.Service, Version: m.Version,
		Range:  zinniatide.KeyRange{First: item.FirstKey, End: item.LastKey},
		Server: item.Server, Workspace: m.Workspace, Class: m.Class, Fingerprint: m.Fingerprint,
		Deadline: now + m.Remaining, MaxWait: item.MaxWait, Body: m.Body,
	}
}
