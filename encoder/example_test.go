package encoder_test

import (
	"fmt"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

func Example() {
	change := registrar.Change{Remove: []registrar.Reference{{Kind: registrar.KindTarget, Name: "engine-1"}}, Author: "kaito"}
	data, err := encoder.EncodeChange(change)
	if err != nil {
		fmt.Println(err)
		return
	}
	decoded, err := encoder.DecodeChange(data)
	fmt.Println(decoded.Remove[0].Name, decoded.Author, err)
	// Output: engine-1 kaito <nil>
}
