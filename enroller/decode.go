package enroller

import (
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// decodeEnrollments decodes a list of enrollments from another VM. Those that
// cannot be decoded are left out, so that one of them does not hide the others.
func decodeEnrollments(body []byte, from zinniatide.VMID) ([]zinniatide.Enrollment, error) {
	var records []cbor.RawMessage
	if err := encoder.Unmarshal(body, &records); err != nil {
		return nil, err
	}
	list := make([]zinniatide.Enrollment, 0, len(records))
	var firstErr error
	for _, record := range records {
		var e zinniatide.Enrollment
		if err := encoder.Unmarshal(record, &e); err != nil {
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		list = append(list, e)
	}
	if firstErr != nil {
		klog.ErrorS(firstErr, "left out undecodable enrollments", "step", "decode enrollments", "peer", from,
			"left-out", len(records)-len(list), "decoded", len(list))
	}
	return list, nil
}
