// Package lister is a stand-in for the platform's list of VMs, which it can serve
// with a delay, and for the status of its weight store.
package lister

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

// maxSnapshots bounds the number of earlier lists that are kept, so that an older one
// can be served.
const maxSnapshots = 1000

// Lister holds the list of VMs. Its exported fields are set before Register.
type Lister struct {
	// WeightStatus returns the status of the weight store. If nil, the zero status
	// is served.
	WeightStatus func() platform.WeightStatus

	mu sync.Mutex
	// snapshots are the latest lists, oldest first.
	snapshots []snapshot
	// lag is the age of the list that is served.
	lag clock.Millis
}

// snapshot is a list of VMs and the time at which it was set.
type snapshot struct {
	setAt time.Time
	vms   []platform.VM
}

// Set replaces the list.
func (l *Lister) Set(vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, snapshot{time.Now(), vms})
	if len(l.snapshots) > maxSnapshots {
		l.snapshots = l.snapshots[1:]
	}
}

// SetLag makes the list that is served lag behind.
func (l *Lister) SetLag(lag clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// VMs returns the list that was current one lag ago, or an empty list if there was
// none.
func (l *Lister) VMs() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := time.Now().Add(-l.lag.Duration())
	for i := len(l.snapshots) - 1; i >= 0; i-- {
		if v := l.snapshots[i]; !v.setAt.After(cutoff) {
			return v.vms
		}
	}
	return []platform.VM{}
}

// Register adds the handlers to router. PUT /vms replaces the list.
func (l *Lister) Register(router *mux.Router) {
	router.HandleFunc("/vms", l.serveList).Methods(http.MethodGet)
	router.HandleFunc("/vms", l.servePutList).Methods(http.MethodPut)
	router.HandleFunc("/weights", l.serveWeights).Methods(http.MethodGet)
}

func (l *Lister) serveList(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(l.VMs())
}

func (l *Lister) servePutList(w http.ResponseWriter, r *http.Request) {
	vms := []platform.VM{}
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(vms)
}

func (l *Lister) serveWeights(w http.ResponseWriter, _ *http.Request) {
	var status platform.WeightStatus
	if l.WeightStatus != nil {
		status = l.WeightStatus()
	}
	_ = json.NewEncoder(w).Encode(status)
}
