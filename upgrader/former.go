package upgrader

import (
	"strconv"
	"strings"
	"time"
)

// formerHolder is the daemon that held the duty last.
type formerHolder struct {
	name string
	// left says that it gave the duty up itself, with quiet. Otherwise its lease has ended.
	left bool
	// quiet is how long it had given no order when it left the duty.
	quiet time.Duration
}

// encodeFormer writes the name, and the milliseconds of quiet where the holder has left.
func encodeFormer(former formerHolder) []byte {
	if !former.left {
		return []byte(former.name)
	}
	return []byte(former.name + " " + strconv.FormatInt(former.quiet.Milliseconds(), 10))
}

// decodeFormer reads the former holder. What cannot be read counts as not quiet at all.
func decodeFormer(value []byte) formerHolder {
	name, quiet, left := strings.Cut(string(value), " ")
	count, err := strconv.ParseInt(quiet, 10, 64)
	if err != nil || count < 0 {
		count = 0
	}
	return formerHolder{name: name, left: left, quiet: time.Duration(count) * time.Millisecond}
}

// since is how long the former holder has given no order when its key vanishes.
func (f formerHolder) since(leaseTTL time.Duration) time.Duration {
	if f.left {
		return f.quiet
	}
	return max(leaseTTL-OrderAge, 0)
}
