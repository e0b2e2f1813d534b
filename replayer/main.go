// Command yuccareplay replays recorded traces through the decision packages
// and checks their stated outcomes.
package main

import "github.com/integrii/flaggy"

// version is set by the linker.
var version = "development"

func main() {
	flaggy.SetName("yuccareplay")
	flaggy.SetDescription("Replays traces through the decision packages.")
	flaggy.SetVersion(version)
	flaggy.Parse()
}
