// Package storer is a stand-in for the platform's transactional table and object
// store. It keeps all data in memory and implements the JSON form of the etcd
// version 3 key-value protocol.
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

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 64 << 20

// Storer holds the rows and objects. The zero value is empty and ready to use.
type Storer struct {
	mu       sync.Mutex
	revision int64
	rows     map[string]row
	// keys are the sorted keys of rows.
	keys    []string
	objects map[string][]byte
	// frozen is the state that reads return, or nil for the current state.
	frozen *Storer
}

// FreezeReads makes reads return the current state, regardless of later writes, until
// it is called with false.
func (s *Storer) FreezeReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if on {
		s.frozen = &Storer{revision: s.revision, rows: maps.Clone(s.rows), keys: slices.Clone(s.keys)}
	}
}

// readView returns the store that serves reads. It is called with s.mu held.
func (s *Storer) readView() *Storer {
	if s.frozen != nil {
		return s.frozen
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

func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Storer) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if !decodeBody(w, r, &req) {
		return
	}
	writeJSON(w, s.applyTxn(req))
}

func (s *Storer) serveRange(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	if !decodeBody(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.readView().rangeRows(req))
}

func (s *Storer) applyTxn(req txnRequest) txnResponse {
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
	view := s
	if !writes && len(req.Compare) == 0 {
		view = s.readView()
	}
	for _, op := range ops {
		res.Responses = append(res.Responses, view.applyOperation(op))
	}
	res.Header.Revision = s.revision
	return res
}

// applyOperation performs one operation. It is called with s.mu held.
func (s *Storer) applyOperation(op operation) operationResponse {
	switch {
	case op.Put != nil:
		s.put(string(op.Put.Key), op.Put.Value)
	case op.Delete != nil:
		s.remove(string(op.Delete.Key))
	case op.Range != nil:
		found := s.rangeRows(*op.Range)
		return operationResponse{Range: &found}
	}
	return operationResponse{}
}

func (s *Storer) put(key string, value []byte) {
	if s.rows == nil {
		s.rows = map[string]row{}
	}
	if _, found := s.rows[key]; !found {
		index, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, index, key)
	}
	s.rows[key] = row{value: value, version: s.revision}
}

func (s *Storer) remove(key string) {
	if _, found := s.rows[key]; !found {
		return
	}
	delete(s.rows, key)
	index, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, index, index+1)
}

// rangeRows returns the rows of a range in key order. It is called with s.mu held.
func (s *Storer) rangeRows(req rangeRequest) rangeResponse {
	var res rangeResponse
	first, _ := slices.BinarySearch(s.keys, string(req.Key))
	for _, key := range s.keys[first:] {
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
