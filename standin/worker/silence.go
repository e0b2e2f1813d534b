package worker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"yuccaspread/common/clock"
)

// maxSilenceBytes bounds the body that names a silence.
const maxSilenceBytes = 16

// serveSilence lets the worker write nothing for a time in milliseconds, and then go on.
func (v *Worker) serveSilence(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxSilenceBytes))
	silence, err := strconv.Atoi(string(text))
	if err != nil || silence < 0 {
		http.Error(w, "the body must be a number of milliseconds", http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silentUntil = time.Now().Add(clock.Millis(silence).Duration())
}

// awaitSound waits for the end of a silence. It returns false if ctx ends before.
func (v *Worker) awaitSound(ctx context.Context) bool {
	for {
		v.mu.Lock()
		left := time.Until(v.silentUntil)
		v.mu.Unlock()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !clock.Sleep(ctx, clock.Millis(left.Milliseconds())+1) {
			return false
		}
	}
}
