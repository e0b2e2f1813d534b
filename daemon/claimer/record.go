package claimer

import (
	"encoding/json"
	"net/http"
	"net/url"

	"yuccaspread/common/clock"
)

// Prefix starts the keys of all claim rows.
const Prefix = "claim/"

// RowKey returns the key of the claim row of a request.
func RowKey(organisation, key string) string {
	return Prefix + url.PathEscape(organisation) + "/" + key
}

// State is what a claim row says of its key.
type State string

// The states.
const (
	// Claimed means that the holder may have sent the request, or may do so.
	Claimed State = "claimed"
	// Released means that the holder sent no byte and never will, so that the
	// key may be claimed again. The row stays, because a late copy of the
	// claiming write would succeed on an absent row.
	Released State = "released"
	// Answered means that the whole answer came.
	Answered State = "answered"
)

// Record is the content of a claim row.
type Record struct {
	State State `json:"state"`
	// Holder is the name of the daemon that claimed the key.
	Holder string `json:"holder"`
	// Nonce is unlike that of any other claim.
	Nonce string `json:"nonce"`
	// Fingerprint identifies the body that the key came with.
	Fingerprint uint64 `json:"fingerprint"`
	// Time is the holder's clock at the claim, in milliseconds.
	Time clock.Millis `json:"time_ms"`
	// Answer is set in the state Answered where the answer was stored.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a stored answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	// Body is the whole body, unless Object names where it is.
	Body []byte `json:"body,omitempty"`
	// Object is the name of the object that holds the body; empty for none.
	Object string `json:"object,omitempty"`
}

// encode returns the content of a row; a Record always has one.
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
