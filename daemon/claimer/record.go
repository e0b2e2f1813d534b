package claimer

import (
	"encoding/json"
	"net/http"
	"net/url"

	"yuccaspread/common/clock"
)

// RowPrefix is the prefix of the keys of all claim rows.
const RowPrefix = "claim/"

// RowKey returns the key of the claim row of a request.
func RowKey(organisation, key string) string {
	return RowPrefix + url.PathEscape(organisation) + "/" + key
}

// State is the state of a key in its claim row.
type State string

// The states.
const (
	// Claimed means that the holder may have sent the request or may yet do so.
	Claimed State = "claimed"
	// Released means that the holder sent no byte and never will, so that the
	// key may be claimed again. The row is kept, because a delayed claim write
	// that expects an absent row would otherwise succeed.
	Released State = "released"
	// Answered means that the whole answer was received.
	Answered State = "answered"
)

// Record is the content of a claim row.
type Record struct {
	State State `json:"state"`
	// Holder is the name of the daemon that claimed the key.
	Holder string `json:"holder"`
	// Nonce is unique to the claim.
	Nonce string `json:"nonce"`
	// Fingerprint identifies the request body that was sent with the key.
	Fingerprint uint64 `json:"fingerprint"`
	// Time is when the claim was made by the holder's clock, in milliseconds.
	Time clock.Millis `json:"time_ms"`
	// Answer is set in the state Answered if the answer was stored.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is the stored answer of a request.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	// Body is the whole body, unless Object is set.
	Body []byte `json:"body,omitempty"`
	// Object is the name of the object that holds the body; empty if Body holds
	// it.
	Object string `json:"object,omitempty"`
}

// encode returns the content of a row. A Record can always be encoded.
func encode(record Record) []byte {
	content, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return content
}

func decode(content []byte) (record Record, err error) {
	err = json.Unmarshal(content, &record)
	return record, err
}
