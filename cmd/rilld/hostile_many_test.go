package main_test

import (
	"strings"
	"testing"
)

const (
	// manyDescriptors is a descriptor limit at which the memory bounds the connections, and manyClients are more than these.
	manyDescriptors = 3000
	manyClients     = 3000
	// tinyFields is how many fields fill a head of legal size.
	tinyFields = 2300
	// smallBody is the size of a body that counts as small.
	smallBody = 60 << 10
)

// Guards against what grows with the number of connections, where descriptors don't bound them: fields of heads that cost more once they are parsed.
func TestHostileHeadsOnManyConnections(t *testing.T) {
	tiny := strings.Repeat("a: b\r\n", tinyFields)
	several := strings.Repeat("X-F: "+strings.Repeat("f", 993)+"\r\n", 15)
	checkCases(t, []hostileCase{
		{"tiny fields, bodies one byte short", "callers", manyClients, sendBody(order+tiny, 1<<10, 1, 0)},
		{"tiny fields of half a head", "callers", manyClients, sendBytes(order + tiny[:4<<10])},
		{"long fields, bodies one byte short", "callers", manyClients, sendBody(order+several, 1<<10, 1, 0)},
		{"small bodies one byte short", "callers", manyClients, sendBody(order, 1<<10, 1, 0)},
		{"idle connections", "callers", manyClients, idle},
	}, startWithManyDescriptors)
}

// Guards against small bodies of connections that wait to be accepted, which the kernel holds, and against answers to them that nobody reads.
func TestHostileBodiesOnManyConnections(t *testing.T) {
	checkCases(t, []hostileCase{
		{"answers not read", "callers", manyClients, sendBody(lookAt, smallBody, 0, 0)},
		{"bodies one byte short", "callers", manyClients, sendBody(order, smallBody, 1, 0)},
	}, startWithManyDescriptors)
}

func startWithManyDescriptors(t *testing.T, folder string) *hostile {
	return startFront(t, folder, manyDescriptors)
}
