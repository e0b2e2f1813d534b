package dispatcher

import "sync"

// maxRetries bounds the retries that may be saved up.
const maxRetries = 20

// budget bounds retries as a share of fresh requests, so that retries do not
// add to an overload. The zero value allows a few retries at the start.
type budget struct {
	mu sync.Mutex
	// spent is the number of retries minus what fresh requests earned, in
	// [0, maxRetries].
	spent float64
}

// fresh earns the share of a retry.
func (b *budget) fresh(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-share, 0)
}

// retry reports whether a retry may be made, and counts it.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxRetries {
		return false
	}
	b.spent++
	return true
}
