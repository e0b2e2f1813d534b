// Package logger sets up structured logs: one JSON object a line through
// klog. Request bodies never go to logs.
package logger

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Keys of the fields that more than one package logs.
const (
	KeyRequest      = "request_id"
	KeyOrganisation = "organisation"
	KeyUpstream     = "upstream"
)

// Setup sends all of klog's output to w as JSON lines, each with the name of
// the program. Debug lines are left out unless verbose is set.
func Setup(w io.Writer, program string, verbose bool) {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	klog.SetSlogLogger(slog.New(handler).With("program", program))
}
