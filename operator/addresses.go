package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"
)

// addresses is the answer that callers get.
type addresses struct {
	Addresses []struct {
		Address string `json:"address"`
		Region  string `json:"region"`
	} `json:"addresses"`
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Header implements printer.Tabular.
func (addresses) Header() []string { return []string{"ADDRESS", "REGION", "LIFETIME_MS"} }

// Rows implements printer.Tabular.
func (a addresses) Rows() [][]string {
	rows := make([][]string, 0, len(a.Addresses))
	for _, one := range a.Addresses {
		rows = append(rows, []string{one.Address, one.Region, fmt.Sprint(a.LifetimeMS)})
	}
	return rows
}

// addressesCommand prints the addresses that callers of a region get.
func (c *control) addressesCommand() command {
	sub := flaggy.NewSubcommand("addresses")
	var region string
	sub.String(&region, "r", "region", "region of the caller")
	return command{sub, "print the addresses that callers get", func(ctx context.Context) (err error) {
		var answer addresses
		err = c.caller.Call(ctx, http.MethodGet, "/v1/addresses?region="+url.QueryEscape(region), nil, &answer)
		if err != nil {
			return err
		}
		return c.print(answer)
	}}
}
