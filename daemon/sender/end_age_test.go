package sender

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"yuccaspread/common/clock"
)

// pausedReader pauses before each read.
type pausedReader struct{ pauses []time.Duration }

func (r *pausedReader) Read([]byte) (n int, err error) {
	if len(r.pauses) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pauses[0])
	r.pauses = r.pauses[1:]
	return 1, nil
}

func (*pausedReader) Close() error { return nil }

// TestAgeOfTheEndAfterAStandstill guards against an end that seems to be new because the machine,
// which has stood still, was busy when it read on.
func TestAgeOfTheEndAfterAStandstill(t *testing.T) {
	const standstill = staleAfter + 100*time.Millisecond
	for name, c := range map[string]struct {
		pauses   []time.Duration
		from, to time.Duration
	}{
		"in time":                 {[]time.Duration{20 * time.Millisecond, 20 * time.Millisecond}, 0, staleAfter},
		"read late":               {[]time.Duration{20 * time.Millisecond, standstill, 0}, standstill, time.Minute},
		"read late with pauses":   {[]time.Duration{20 * time.Millisecond, standstill, 5 * time.Millisecond, 5 * time.Millisecond}, standstill, time.Minute},
		"goes on after a silence": {[]time.Duration{standstill, 100 * time.Millisecond}, 0, staleAfter},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := &answerBody{ReadCloser: &pausedReader{pauses: c.pauses}, run: &Run{}, conn: newConn(nil), waitedFrom: wallTime()}
			res := &http.Response{Body: body}
			for {
				if _, err := body.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
					break
				}
			}
			if age := EndAge(res); age < clock.Millis(c.from.Milliseconds()) || age > clock.Millis(c.to.Milliseconds()) {
				t.Errorf("age %d ms, want %v to %v", age, c.from, c.to)
			}
		})
	}
}
