// Package storer is a stand-in for the platform's transactional table and
// object store. It keeps everything in memory and speaks the JSON form of the
// etcd version 3 key-value protocol.
package storer

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/gorilla/mux"
)

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 64 << 20

// Storer holds the rows and objects. The zero value is empty and works.
type Storer struct {
	mu       sync.Mutex
	revision int64
	rows     map[string]row
	// keys are the keys of rows, sorted.
	keys    []string
	objects map[string][]byte
	// older answers reads in place of this Storer while it is not nil.
	older *Storer
}

// Older makes reads see the present state until it is switched off, whatever
// is written meanwhile.
func (s *Storer) Older(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.older = nil
	if on {
		s.older = &Storer{revision: s.revision, rows: maps.Clone(s.rows), keys: slices.Clone(s.keys)}
	}
}

// reader returns what answers reads; s.mu is held.
func (s *Storer) reader() *Storer {
	if s.older != nil {
		return s.older
	}
	return s
}

type row struct {
	value   []byte
	version int64
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type operation struct {
	Put    *keyValue     `json:"request_put"`
	Delete *rangeRequest `json:"request_delete_range"`
	Range  *rangeRequest `json:"request_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type rangeResponse struct {
	Rows []keyValue `json:"kvs"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range,omitempty"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type txnResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses"`
}

// Register adds the handlers of the table and the object store to router.
func (s *Storer) Register(router *mux.Router) {
	router.HandleFunc("/v3/kv/txn", s.serveTxn).Methods(http.MethodPost)
	router.HandleFunc("/v3/kv/range", s.serveRange).Methods(http.MethodPost)
	router.HandleFunc("/objects/{name}", s.serveObject)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Storer) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if !decode(w, r, &req) {
		return
	}
	reply(w, s.transact(req))
}

func (s *Storer) serveRange(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.reader().find(req))
}

func (s *Storer) transact(req txnRequest) txnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := txnResponse{Succeeded: true}
	for _, c := range req.Compare {
		if s.rows[string(c.Key)].version != c.ModRevision {
			res.Succeeded = false
		}
	}
	ops := req.Success
	if !res.Succeeded {
		ops = req.Failure
	}
	writes := slices.ContainsFunc(ops, func(o operation) bool { return o.Range == nil })
	if writes {
		s.revision++
	}
	from := s
	if !writes && len(req.Compare) == 0 {
		from = s.reader()
	}
	for _, op := range ops {
		res.Responses = append(res.Responses, from.operate(op))
	}
	res.Header.Revision = s.revision
	return res
}

// operate runs one operation; s.mu is held.
func (s *Storer) operate(op operation) operationResponse {
	switch {
	case op.Put != nil:
		s.put(string(op.Put.Key), op.Put.Value)
	case op.Delete != nil:
		s.remove(string(op.Delete.Key))
	case op.Range != nil:
		found := s.find(*op.Range)
		return operationResponse{Range: &found}
	}
	return operationResponse{}
}

func (s *Storer) put(key string, value []byte) {
	if s.rows == nil {
		s.rows = map[string]row{}
	}
	if _, found := s.rows[key]; !found {
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.rows[key] = row{value: value, version: s.revision}
}

func (s *Storer) remove(key string) {
	if _, found := s.rows[key]; !found {
		return
	}
	delete(s.rows, key)
	at, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, at, at+1)
}

// find returns the rows of a range in the order of their keys; s.mu is held.
func (s *Storer) find(req rangeRequest) rangeResponse {
	var res rangeResponse
	at, _ := slices.BinarySearch(s.keys, string(req.Key))
	for _, key := range s.keys[at:] {
		if !inRange(req, key) || (req.Limit > 0 && int64(len(res.Rows)) >= req.Limit) {
			break
		}
		r := s.rows[key]
		res.Rows = append(res.Rows, keyValue{Key: []byte(key), Value: r.value, ModRevision: r.version})
	}
	return res
}

func inRange(req rangeRequest, key string) bool {
	switch {
	case len(req.RangeEnd) == 0:
		return key == string(req.Key)
	case bytes.Equal(req.RangeEnd, []byte{0}):
		return true
	default:
		return key < string(req.RangeEnd)
	}
}

func (s *Storer) serveObject(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	switch r.Method {
	case http.MethodGet:
		value, found := s.objects[name]
		if !found {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(value)
	case http.MethodPut:
		s.objects[name] = body
	case http.MethodDelete:
		delete(s.objects, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
