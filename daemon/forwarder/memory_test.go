package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/rationer"
	"yuccaspread/daemon/sender"
)

// slotWatcher records how many slots had ended when the caller's first bytes were written.
type slotWatcher struct {
	*httptest.ResponseRecorder

	slots        *fixedSlots
	endedAtWrite int
}

func (w *slotWatcher) Write(piece []byte) (int, error) {
	if w.Body.Len() == 0 {
		w.slots.mu.Lock()
		w.endedAtWrite = len(w.slots.ended)
		w.slots.mu.Unlock()
	}
	return w.ResponseRecorder.Write(piece)
}

// TestAnswersArriveWholeWhateverTheMemory guards against an answer that is cut or refused because the
// daemon has no memory for it, against memory that is not returned, and against a slot that is kept
// while the caller takes an answer that the upstream has completed.
func TestAnswersArriveWholeWhateverTheMemory(t *testing.T) {
	for _, length := range []int{0, 1, chunkBytes - 1, chunkBytes, 3*chunkBytes + 1, maxBufferedBytes, 2 * maxBufferedBytes} {
		for _, memory := range []int64{1, chunkBytes, 2 * chunkBytes, 60 << 10} {
			for _, chunked := range []bool{false, true} {
				text := strings.Repeat("x", length)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if chunked {
						_ = http.NewResponseController(w).Flush()
					}
					_, _ = w.Write([]byte(text))
				}))
				source, slots := &fixedSource{}, &fixedSlots{}
				slots.upstreams = []inventory.Upstream{{Name: "u", Address: strings.TrimPrefix(server.URL, "http://")}}
				source.config.Upstreams = slots.upstreams
				held := &rationer.Rationer{MaxBytes: memory}
				f := &Forwarder{
					Source: source, Clock: clock.System{}, Reserver: slots, Sender: &sender.Sender{}, Protocol: plainProtocol{},
					Budget: &Budget{Daemons: func() int { return 1 }}, Memory: held,
				}
				now := clock.System{}.Now()
				out := &slotWatcher{ResponseRecorder: httptest.NewRecorder(), slots: slots}
				err := f.Handle(t.Context(), out, &classifier.Request{
					ID: "1", Pool: "p", MaxAttempts: 1, Arrived: now, Deadline: now + 20*clock.Second, Method: http.MethodGet, Path: "/",
				})
				server.Close()
				if err != nil || out.Code != http.StatusOK || out.Body.String() != text {
					t.Errorf("%d bytes, memory of %d, chunked %t: status %d, %d bytes, %v", length, memory, chunked, out.Code, out.Body.Len(), err)
				}
				fits := int64(length)+chunkBytes < memory && length < maxBufferedBytes
				if fits && length > 0 && out.endedAtWrite != 1 {
					t.Errorf("%d bytes: the slot was kept while the caller took the answer", length)
				}
				if !held.Take(memory) {
					t.Errorf("%d bytes, memory of %d: some is not returned", length, memory)
				}
			}
		}
	}
}
