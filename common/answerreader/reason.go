package answerreader

import (
	"errors"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide/common/chunkreader"
	"zinniatide.example/zinniatide/common/fieldscanner"
)

// reasons are the label values of invalid answers.
var reasons = []struct {
	err    error
	reason string
}{
	{ErrStatusLine, "status-line"},
	{fieldscanner.ErrName, "field-name"},
	{fieldscanner.ErrValue, "control-byte"},
	{fieldscanner.ErrLineEnd, "line-end"},
	{ErrHeaderTooLong, "header-too-long"},
	{ErrFraming, "framing"},
	{ErrRepeated, "repeated-field"},
	{chunkreader.ErrSize, "chunk-size"},
	{chunkreader.ErrEnd, "chunk-end"},
	{ErrTrailer, "trailer"},
	{ErrTooLong, "too-long"},
	{chunkreader.ErrTooLong, "too-long"},
	{fasthttp.ErrBodyTooLarge, "too-long"},
}

// Reason returns why an answer that could not be read with err is invalid, as one of a few
// words. It is empty if the connection failed or the VM lacked memory.
func Reason(err error) string {
	for i := range reasons {
		if errors.Is(err, reasons[i].err) {
			return reasons[i].reason
		}
	}
	return ""
}
