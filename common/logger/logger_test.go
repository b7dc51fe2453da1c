package logger_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide/common/logger"
)

// klog must not fall back to its own text format, which log collectors cannot
// parse.
func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	logger.Install(&out, slog.LevelInfo, "e1", "zone-a")
	klog.InfoS("link closed", "step", "ping", "peer", "e2")
	klog.Flush()
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("line %q: %v", out.String(), err)
	}
	for key, want := range map[string]string{"vm": "e1", "zone": "zone-a", "step": "ping", "peer": "e2", "msg": "link closed", "level": "INFO"} {
		if got := line[key]; got != want {
			t.Errorf("%s = %v, want %q", key, got, want)
		}
	}
}
