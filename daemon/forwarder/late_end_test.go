package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// TestWholeStreamIsNotCutAtItsDeadline guards against a stream that was read to its end just as its time was over, and
// is cut.
func TestWholeStreamIsNotCutAtItsDeadline(t *testing.T) {
	whole := strings.Join(events(1, 3), "")
	for _, framed := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		recorder := httptest.NewRecorder()
		r := &requestState{Forwarder: &Forwarder{Clock: clock.System{}, Sender: &sender.Sender{}}, req: &classifier.Request{Stream: true}, w: recorder}
		res := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(strings.NewReader(whole)), Request: &http.Request{}}
		if framed {
			res.TransferEncoding = []string{"chunked"}
		}
		end, _, err := r.forwardEvents(ctx, res, peerSlot{}, &silenceWatch{request: r})
		if (end == completed) != framed || recorder.Body.String() != whole {
			t.Errorf("framed %t: %v, %v, %q", framed, end, err, recorder.Body)
		}
	}
}
