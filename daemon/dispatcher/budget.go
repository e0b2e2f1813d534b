package dispatcher

import "sync"

// maxRetries is the number of retries that a full budget allows.
const maxRetries = 20

// budget limits retries to a share of the new requests, so that retries do not
// worsen an overload. The zero value is a full budget of maxRetries.
type budget struct {
	mu sync.Mutex
	// netRetries is the number of retries minus those that new requests earned, in
	// [0, maxRetries].
	netRetries float64
}

// addRequest adds the share of a retry that one new request earns.
func (b *budget) addRequest(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.netRetries = max(b.netRetries-share, 0)
}

// takeRetry reports whether a retry is allowed, and counts it.
func (b *budget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.netRetries+1 > maxRetries {
		return false
	}
	b.netRetries++
	return true
}

// returnRetry gives back a retry that was taken and not made.
func (b *budget) returnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.netRetries = max(b.netRetries-1, 0)
}
