// Package logger configures klog to write JSON lines.
package logger

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Install makes klog write its structured log calls to w as one JSON object per
// line. Each object contains the VM and its availability zone.
func Install(w io.Writer, level slog.Level, vm zinniatide.VMID, zone zinniatide.ZoneID) {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	withAttrs := handler.WithAttrs([]slog.Attr{slog.String("vm", string(vm)), slog.String("zone", string(zone))})
	klog.SetLogger(logr.FromSlogHandler(withAttrs))
}
