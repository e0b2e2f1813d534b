// Package relayer carries an upstream's answer to the caller and knows
// whether it was whole.
package relayer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// chunkBytes is the size of the buffer between upstream and caller.
const chunkBytes = 16 << 10

// Errors of Relay.
var (
	// ErrCaller means that the caller stopped reading.
	ErrCaller = errors.New("the caller left")
	// ErrCut means that the upstream's answer ended before it was whole.
	ErrCut = errors.New("the answer was cut")
)

// endOfEvents is the last event of a whole stream in the OpenAI form.
const endOfEvents = "data: [DONE]"

// Relay copies the answer to the caller, piece by piece. first is called once
// before the first piece is written. The error wraps ErrCaller or ErrCut.
func Relay(w http.ResponseWriter, res *http.Response, first func()) (err error) {
	copyHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	events := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	flusher := http.NewResponseController(w)
	buffer := make([]byte, chunkBytes)
	var tail []byte
	for {
		n, readErr := res.Body.Read(buffer)
		if n > 0 {
			if first != nil {
				first()
				first = nil
			}
			if _, err = w.Write(buffer[:n]); err != nil {
				return errors.Join(ErrCaller, err)
			}
			if events {
				tail = keepTail(tail, buffer[:n])
				_ = flusher.Flush()
			}
		}
		if readErr == nil {
			continue
		}
		if !errors.Is(readErr, io.EOF) {
			return errors.Join(ErrCut, readErr)
		}
		if events && !bytes.Contains(tail, []byte(endOfEvents)) {
			return ErrCut
		}
		return nil
	}
}

// keepTail returns the last bytes of what passed, enough to hold the end mark.
func keepTail(tail, piece []byte) []byte {
	const keep = 4 * len(endOfEvents)
	tail = append(tail, piece...)
	if len(tail) > keep {
		tail = append(tail[:0], tail[len(tail)-keep:]...)
	}
	return tail
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade":
			continue
		}
		to[name] = values
	}
}
