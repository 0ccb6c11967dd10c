// Command cassiawind is the traffic steering system: the entry process and the
// operators' commands.
package main

import (
	"fmt"

	"github.com/integrii/flaggy"
)

// version is set by the linker.
var version = "unknown"

func main() {
	flaggy.SetName("cassiawind")
	flaggy.SetDescription("global traffic steering")
	flaggy.SetVersion(version)
	flaggy.Parse()
	fmt.Println(version)
}
