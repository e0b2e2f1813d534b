package relayer

import (
	"errors"
	"strconv"
	"strings"

	"yuccaspread/daemon/splitter"
)

// errMissingEvent means that an event of the stream is missing.
var errMissingEvent = errors.New("event number skipped in the stream")

// maxEventBytes is the largest size of one event.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event is larger than maxEventBytes.
var errEventTooLarge = errors.New("stream event exceeds the size limit")

// eventFilter splits the bytes of one attempt into server-sent events and admits
// each event once and in order, even if it arrives on several connections. An event
// with a position in the stream has an id of the form "attempt id:number" or
// "number", counted from 1.
type eventFilter struct {
	// attemptID names the attempt; events with another one are dropped.
	attemptID string
	// lastNumber is the number of the last numbered event that was admitted.
	lastNumber int
	// done is set by the end marker, an event whose data is [DONE].
	done bool
	// admitted counts the events that were admitted.
	admitted int

	events splitter.Splitter
}

// feed appends piece to the buffered bytes and returns the events that are complete
// now and admitted. The error is errMissingEvent or errEventTooLarge; the events
// before the fault are returned with it.
func (e *eventFilter) feed(piece []byte) (out []byte, err error) {
	e.events.Append(piece)
	for !e.done {
		event, found := e.events.Next()
		if !found {
			break
		}
		admitted, err := e.admit(event)
		if err != nil {
			return out, err
		}
		if admitted {
			out = append(out, event...)
			e.admitted++
		}
	}
	if len(e.events.Rest()) > maxEventBytes {
		return out, errEventTooLarge
	}
	return out, nil
}

// discardPartial drops the incomplete event at the end of a connection.
func (e *eventFilter) discardPartial() {
	e.events = splitter.Splitter{}
}

// admit reports whether the event is the next one of this attempt and records its
// number. It returns errMissingEvent if a number was skipped.
func (e *eventFilter) admit(event []byte) (admitted bool, err error) {
	id, data := parseEvent(string(event))
	if id != "" {
		attemptID, number := splitEventID(id)
		if attemptID != "" && attemptID != e.attemptID {
			return false, nil
		}
		switch {
		case number == 0:
		case number <= e.lastNumber:
			return false, nil
		case number > e.lastNumber+1:
			return false, errMissingEvent
		default:
			e.lastNumber = number
		}
	}
	e.done = data == "[DONE]"
	return true, nil
}

// parseEvent returns the id and the data of an event.
func parseEvent(event string) (id, data string) {
	for line := range strings.SplitSeq(event, "\n") {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id = value
		case "data":
			data += value
		}
	}
	return id, data
}

// splitEventID returns the parts of an event id; the number is 0 if there is none.
func splitEventID(id string) (attemptID string, number int) {
	at := strings.LastIndexByte(id, ':')
	number, err := strconv.Atoi(id[at+1:])
	if err != nil || number < 0 {
		return "", 0
	}
	return id[:max(at, 0)], number
}
