package forwarder

import (
	"bytes"
	"strings"
)

// eventSplitter splits a byte stream into server-sent events. The zero value is
// ready to use.
type eventSplitter struct {
	// lastID is the last id that a whole event named, empty before one.
	lastID string
	// events counts the whole events.
	events int
	// partial holds the bytes of an event that has not ended.
	partial []byte
}

// feed appends piece to the buffered bytes and returns the events that are
// complete now.
func (s *eventSplitter) feed(piece []byte) (out []byte) {
	s.partial = append(s.partial, piece...)
	at := bytes.LastIndex(s.partial, []byte("\n\n"))
	if at < 0 {
		return nil
	}
	out = s.partial[:at+2]
	s.partial = append([]byte(nil), s.partial[at+2:]...)
	for event := range bytes.SplitSeq(out[:at], []byte("\n\n")) {
		s.events++
		s.recordID(string(event))
	}
	return out
}

// recordID sets lastID if the event has an id.
func (s *eventSplitter) recordID(event string) {
	for line := range strings.SplitSeq(event, "\n") {
		if id, found := strings.CutPrefix(line, "id:"); found {
			s.lastID = strings.TrimSpace(id)
		}
	}
}
