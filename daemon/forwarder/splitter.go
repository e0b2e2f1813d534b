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
func (c *eventSplitter) feed(piece []byte) (out []byte) {
	c.partial = append(c.partial, piece...)
	at := bytes.LastIndex(c.partial, []byte("\n\n"))
	if at < 0 {
		return nil
	}
	out = c.partial[:at+2]
	c.partial = append([]byte(nil), c.partial[at+2:]...)
	for event := range bytes.SplitSeq(out[:at], []byte("\n\n")) {
		c.events++
		c.recordID(string(event))
	}
	return out
}

// recordID sets lastID if the event has an id.
func (c *eventSplitter) recordID(event string) {
	for line := range strings.SplitSeq(event, "\n") {
		if id, found := strings.CutPrefix(line, "id:"); found {
			c.lastID = strings.TrimSpace(id)
		}
	}
}
