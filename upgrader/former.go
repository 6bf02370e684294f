package upgrader

import (
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// formerHolder is the daemon that held the update lock last.
type formerHolder struct {
	name string
	// released is set if the daemon released the lock itself; only then is idle set. Otherwise the store
	// deletes the lock's key when the daemon's lease ends.
	released bool
	// idle is the time from the daemon's last order to the release.
	idle time.Duration
	// era is the era of the store in which the daemon held the lock.
	era storer.Era
}

// notReleased stands for the idle time of a lock that was not released, if an era follows.
const notReleased = "-"

// encodeFormer writes the name, followed by the idle time in milliseconds if the lock was released, and by the era unless that
// is zero.
func encodeFormer(former formerHolder) []byte {
	fields := []string{former.name}
	switch {
	case former.released:
		fields = append(fields, strconv.FormatInt(former.idle.Milliseconds(), 10))
	case former.era != 0:
		fields = append(fields, notReleased)
	}
	if former.era != 0 {
		fields = append(fields, strconv.FormatUint(uint64(former.era), 10))
	}
	return []byte(strings.Join(fields, " "))
}

// decodeFormer reads the former holder. An idle time or an era that cannot be parsed counts as zero.
func decodeFormer(value []byte) formerHolder {
	name, rest, _ := strings.Cut(string(value), " ")
	idle, era, _ := strings.Cut(rest, " ")
	count, err := strconv.ParseInt(idle, 10, 64)
	if err != nil || count < 0 {
		count = 0
	}
	number, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		number = 0
	}
	return formerHolder{
		name: name, released: idle != "" && idle != notReleased, idle: time.Duration(count) * time.Millisecond, era: storer.Era(number),
	}
}

// idleTime returns the least time from the former holder's last order to the deletion of the lock's key.
func (f formerHolder) idleTime(leaseTTL time.Duration) time.Duration {
	if f.released {
		return f.idle
	}
	return max(leaseTTL-MaxOrderLeaseAge, 0)
}
