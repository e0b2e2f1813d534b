package main

import (
	"log"
	"strings"

	"k8s.io/klog/v2"

	"yuccaspread/daemon/throttler"
)

// newThrottledLog returns a logger with a bounded rate, for messages that
// callers or other daemons can cause at any rate.
func newThrottledLog() *log.Logger {
	return log.New(throttler.New(klogWriter{}), "", 0)
}

// redirectStandardLog sends the messages of libraries that use the standard logger to
// klog, at a bounded rate. An upstream in trouble can cause them at any rate.
func redirectStandardLog() {
	log.SetFlags(0)
	log.SetOutput(throttler.New(klogWriter{}))
}

// klogWriter is an io.Writer that logs each Write as one message.
type klogWriter struct{}

// Write implements io.Writer.
func (klogWriter) Write(line []byte) (n int, err error) {
	klog.InfoS(withoutContent(strings.TrimSpace(string(line))))
	return len(line), nil
}

// withoutContent cuts off a message of net/http where it quotes what an upstream sent,
// which may belong to any caller.
func withoutContent(message string) string {
	before, _, _ := strings.Cut(message, " starting with ")
	return before
}
