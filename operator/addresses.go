package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"
)

// addressesResponse lists the daemons that a caller should try, in order.
// LifetimeMS is how long the caller may keep the list, in milliseconds.
type addressesResponse struct {
	Addresses []struct {
		Address string `json:"address"`
		Region  string `json:"region"`
	} `json:"addresses"`
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Header implements printer.Tabular.
func (addressesResponse) Header() []string { return []string{"ADDRESS", "REGION", "LIFETIME_MS"} }

// Rows implements printer.Tabular.
func (a addressesResponse) Rows() [][]string {
	rows := make([][]string, 0, len(a.Addresses))
	for _, address := range a.Addresses {
		rows = append(rows, []string{address.Address, address.Region, fmt.Sprint(a.LifetimeMS)})
	}
	return rows
}

// addressesCommand returns the command that prints the addresses that callers in
// a region are given.
func (c *cli) addressesCommand() command {
	sub := flaggy.NewSubcommand("addresses")
	var region string
	sub.String(&region, "r", "region", "region of the caller")
	return command{sub, "print the addresses that callers get", func(ctx context.Context) (err error) {
		var response addressesResponse
		err = c.api.Call(ctx, http.MethodGet, "/v1/addresses?region="+url.QueryEscape(region), nil, &response)
		if err != nil {
			return err
		}
		return c.print(response)
	}}
}
