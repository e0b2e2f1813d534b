// Package logger sets up structured logging through klog, with one JSON object
// per line, and a writer that keeps slow log output from blocking the program.
// Request bodies are never logged.
package logger

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Log keys that several packages use.
const (
	KeyRequest      = "request_id"
	KeyOrganisation = "organisation"
	KeyUpstream     = "upstream"
)

// Setup sends klog's output to w as JSON lines, each with the name of the
// program. Debug lines are omitted unless verbose is set.
func Setup(w io.Writer, program string, verbose bool) {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	klog.SetSlogLogger(slog.New(handler).With("program", program))
}
