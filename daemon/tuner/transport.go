package tuner

import "net/http"

// MaxResponseHeaderBytes is the largest size of the headers of an answer.
const MaxResponseHeaderBytes = 256 << 10

// Transport returns an HTTP transport that dials with Dialer, bounds the headers of answers and
// leaves their encoding alone.
func Transport() *http.Transport {
	return &http.Transport{
		DialContext: Dialer().DialContext, MaxResponseHeaderBytes: MaxResponseHeaderBytes, DisableCompression: true,
	}
}
