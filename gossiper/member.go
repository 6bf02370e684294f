package gossiper

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// State is the state of a member as the member itself reports it.
type State int

// The states.
const (
	StateLive State = iota + 1
	StateLeaving
)

// Member is the entry of one daemon in the membership.
type Member struct {
	Name string
	// Incarnation increases with each start of the daemon of this name.
	Incarnation uint64
	// Address is where the member listens for its peers.
	Address    netip.AddrPort
	DataCentre string
	// Heartbeat is a counter that the member increments in each round.
	Heartbeat uint64
	State     State
}

// newer reports whether m is a later state of the same daemon than other.
func (m Member) newer(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Heartbeat > other.Heartbeat
}

// SettingsError reports that a required setting is missing.
type SettingsError struct {
	Field string
}

// Error names the field.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("setting %s is missing", e.Field)
}

// rendezvousHash returns the rank of a member for a duty; the lowest hash ranks first.
func rendezvousHash(duty, name string) uint64 {
	return xxh3.HashString(duty + "\x00" + name)
}

// Ranked returns the members ordered for a duty by rendezvous hashing, so that daemons that
// know the same members assign the duty to the same ones.
func Ranked(members []Member, duty string) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(duty, a.Name), rendezvousHash(duty, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// AmongFirst reports whether this daemon ranks among the first count live daemons of its data
// centre for the duty.
//
// It is called many times a second for each target, and therefore only counts the members that
// rank before this daemon instead of sorting all of them.
func (g *Gossiper) AmongFirst(duty string, count int) bool {
	return g.table.countBefore(duty) < count
}

// Self returns the entry of this daemon.
func (g *Gossiper) Self() Member {
	return g.table.self()
}

// Peers returns the live members of this daemon's data centre, without this daemon.
func (g *Gossiper) Peers() []Member {
	return g.table.live()
}

// RemoteContacts returns the known contacts in other data centres.
func (g *Gossiper) RemoteContacts() []Member {
	return g.table.remoteContacts()
}

// Unreachable returns the members of this daemon's data centre that are dead without having left
// and are not yet removed from the table.
func (g *Gossiper) Unreachable() []Member {
	return g.table.dead()
}

// Find returns a member of this daemon's data centre by its name, live or dead.
func (g *Gossiper) Find(name string) (member Member, ok bool) {
	return g.table.find(name)
}

// messageMembers returns the members that a message carries: all members of this daemon's data
// centre that are not dead, and up to maxContactsPerMessage random contacts in other data centres.
func (g *Gossiper) messageMembers() []Member {
	contacts := g.table.remoteContacts()
	g.random.shuffle(contacts)
	return append(g.table.notDead(), contacts[:min(len(contacts), maxContactsPerMessage)]...)
}
