package relayer

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// errGap means that an event of the stream is missing.
var errGap = errors.New("an event of the stream is missing")

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// errLarge means that an event is larger than maxEventBytes.
var errLarge = errors.New("an event of the stream is too large")

// events cuts server-sent events out of the bytes of one attempt and lets
// each through once and in order, whichever connection it came by. An event
// that names a place in the stream has an id of the form "tag:number" or
// "number", counted from 1.
type events struct {
	// tag names the attempt; events of another tag are dropped.
	tag string
	// last is the number of the last event that was let through.
	last int
	// done is set by the end mark.
	done bool
	// passed counts the events that were let through.
	passed int

	buffer []byte
}

// feed takes bytes and returns the whole events among them.
func (e *events) feed(piece []byte) (out []byte, err error) {
	e.buffer = append(e.buffer, piece...)
	for !e.done {
		end := bytes.Index(e.buffer, []byte("\n\n"))
		if end < 0 {
			break
		}
		event := e.buffer[:end+2]
		e.buffer = e.buffer[end+2:]
		admitted, err := e.admit(event)
		if err != nil {
			return out, err
		}
		if admitted {
			out = append(out, event...)
			e.passed++
		}
	}
	if len(e.buffer) > maxEventBytes {
		return out, errLarge
	}
	return out, nil
}

// restart drops the torn event at the end of a connection.
func (e *events) restart() {
	e.buffer = nil
}

// admit tells whether an event is the next one of this attempt.
func (e *events) admit(event []byte) (admitted bool, err error) {
	id, data := fields(string(event))
	if id != "" {
		tag, number := split(id)
		if tag != "" && tag != e.tag {
			return false, nil
		}
		switch {
		case number == 0:
		case number <= e.last:
			return false, nil
		case number > e.last+1:
			return false, errGap
		default:
			e.last = number
		}
	}
	e.done = data == "[DONE]"
	return true, nil
}

// fields returns the id and the data of an event.
func fields(event string) (id, data string) {
	for line := range strings.SplitSeq(event, "\n") {
		name, value, _ := strings.Cut(line, ":")
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

// split returns the parts of an id; the number is 0 where there is none.
func split(id string) (tag string, number int) {
	at := strings.LastIndexByte(id, ':')
	number, err := strconv.Atoi(id[at+1:])
	if err != nil || number < 0 {
		return "", 0
	}
	return id[:max(at, 0)], number
}
