package gossiper_test

import (
	"fmt"

	"github.com/rosemaryrill/rosemaryrill/gossiper"
)

func ExampleRanked() {
	members := []gossiper.Member{{Name: "daemon-1"}, {Name: "daemon-2"}, {Name: "daemon-3"}}
	reordered := []gossiper.Member{members[2], members[0], members[1]}
	first, other := gossiper.Ranked(members, "watch"), gossiper.Ranked(reordered, "watch")
	fmt.Println(first[0].Name == other[0].Name)
	// Output: true
}
