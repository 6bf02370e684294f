package upgrader

import (
	"strconv"
	"strings"
	"time"
)

// formerHolder is the daemon that held the update lock last.
type formerHolder struct {
	name string
	// released is set if the daemon released the lock itself; only then is idle set. Otherwise the store
	// deletes the lock's key when the daemon's lease ends.
	released bool
	// idle is the time from the daemon's last order to the release.
	idle time.Duration
}

// encodeFormer writes the name, followed by the idle time in milliseconds if the lock was released.
func encodeFormer(former formerHolder) []byte {
	if !former.released {
		return []byte(former.name)
	}
	return []byte(former.name + " " + strconv.FormatInt(former.idle.Milliseconds(), 10))
}

// decodeFormer reads the former holder. An idle time that cannot be parsed counts as zero.
func decodeFormer(value []byte) formerHolder {
	name, idle, released := strings.Cut(string(value), " ")
	count, err := strconv.ParseInt(idle, 10, 64)
	if err != nil || count < 0 {
		count = 0
	}
	return formerHolder{name: name, released: released, idle: time.Duration(count) * time.Millisecond}
}

// idleTime returns the least time from the former holder's last order to the deletion of the lock's key.
func (f formerHolder) idleTime(leaseTTL time.Duration) time.Duration {
	if f.released {
		return f.idle
	}
	return max(leaseTTL-MaxOrderLeaseAge, 0)
}
