package upgrader

import (
	"strconv"
	"strings"
	"time"
)

// formerHolder is the daemon that held the duty last.
type formerHolder struct {
	name string
	// quiet is how long it had given no order when it left the duty; zero where it left without
	// a word.
	quiet time.Duration
}

func encodeFormer(former formerHolder) []byte {
	return []byte(former.name + " " + strconv.FormatInt(former.quiet.Milliseconds(), 10))
}

// decodeFormer reads the former holder. What cannot be read counts as not quiet at all.
func decodeFormer(value []byte) formerHolder {
	name, quiet, _ := strings.Cut(string(value), " ")
	count, err := strconv.ParseInt(quiet, 10, 64)
	if err != nil || count < 0 {
		count = 0
	}
	return formerHolder{name: name, quiet: time.Duration(count) * time.Millisecond}
}
