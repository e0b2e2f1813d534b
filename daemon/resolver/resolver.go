// Package resolver answers callers who ask which daemons to use.
package resolver

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Address is one daemon in an answer.
type Address struct {
	Address string `json:"address"`
	Region  string `json:"region"`
}

// Answer is what callers get.
type Answer struct {
	// Addresses are in the order in which the caller should try them.
	Addresses []Address `json:"addresses"`
	// LifetimeMS is how long the caller may keep the answer, in milliseconds.
	LifetimeMS clock.Millis `json:"lifetime_ms"`
}

// Members tells which daemons callers may use.
type Members interface {
	// Addresses returns them for a caller of the region, the best first.
	Addresses(region string) []Address
}

// Resolver serves the answer. Its exported fields are set before Register.
type Resolver struct {
	Source  inventory.Source
	Members Members
}

// Register adds the handler to router.
func (v *Resolver) Register(router *mux.Router) {
	router.HandleFunc("/v1/addresses", v.serve).Methods(http.MethodGet)
}

func (v *Resolver) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Addresses:  v.Members.Addresses(r.URL.Query().Get("region")),
		LifetimeMS: v.Source.Current().Limits.WithDefaults().AddressLifetimeMS,
	})
}

// Static is a Members that knows a fixed list.
type Static []Address

// Addresses implements Members.
func (s Static) Addresses(string) []Address { return s }
