package locator_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryrill/rosemaryrill/locator"
)

func ExampleParse() {
	document := locator.Parse("fleet.jsonc", []byte("{\n  // The bound lacks its unit.\n  \"drain_bound\": \"5\",\n}"))
	root := document.Root()
	root.Text("name", locator.Required)
	root.Duration("drain_bound", time.Second, time.Hour)
	root.ReportUnknown()
	var faults *locator.FaultsError
	if errors.As(document.Err(), &faults) {
		for _, fault := range faults.Faults {
			fmt.Println(fault.Position)
		}
	}
	// Output:
	// fleet.jsonc:1:1
	// fleet.jsonc:3:18
}
