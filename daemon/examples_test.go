package main

import (
	"os"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/common/loader"
)

// TestExamplesAreAccepted loads the example files with the programs' own loader.
// It fails if a renamed or removed field makes an example invalid, or if an
// example lost entries.
func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"zeltfest", "directorate"} {
		folder := "../examples/" + name + "/"
		var s settings
		if err := loader.Load(loader.Source{Path: folder + "daemon.toml"}, &s); err != nil {
			t.Error(err)
		}
		var config inventory.Config
		for _, file := range []string{"inventory.toml", "rules.toml"} {
			content, err := os.ReadFile(folder + file)
			if err != nil {
				t.Fatal(err)
			}
			if err = loader.Decode(content, &config); err != nil {
				t.Errorf("%s%s: %v", folder, file, err)
			}
		}
		if len(config.Upstreams) != 13 || len(config.Organisations) != 5 || len(config.Routes) < 4 {
			t.Errorf("%s is incomplete", folder)
		}
	}
}
