package gossiper

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// record is the entry of a member in the table.
type record struct {
	member Member
	// advancedAt is when the heartbeat last advanced, by the clock of this daemon.
	advancedAt time.Time
	dead       bool
}

// table contains the members of this daemon's data centre by name, and up to
// maxContactsPerDataCentre contacts in each other data centre.
type table struct {
	deadAfter   time.Duration
	forgetAfter time.Duration

	mu       sync.Mutex
	own      Member
	members  map[string]*record
	contacts map[string][]*record
}

func newTable(own Member, deadAfter, forgetAfter time.Duration) *table {
	return &table{
		deadAfter:   deadAfter,
		forgetAfter: forgetAfter,
		own:         own,
		members:     make(map[string]*record),
		contacts:    make(map[string][]*record),
	}
}

func (t *table) self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own
}

// countBefore counts the live members that rank before this daemon for a duty.
func (t *table) countBefore(duty string) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ownHash := rendezvousHash(duty, t.own.Name)
	for name, r := range t.members {
		if r.dead || r.member.State != StateLive {
			continue
		}
		if hash := rendezvousHash(duty, name); hash < ownHash || hash == ownHash && name < t.own.Name {
			count++
		}
	}
	return count
}

// leave sets the state of this daemon to leaving. The heartbeat is incremented so that others
// accept the entry as newer.
func (t *table) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.State = StateLeaving
	t.own.Heartbeat++
}

// tick increments the heartbeat of this daemon, marks members as dead whose heartbeat has not
// advanced for deadAfter, and removes them after forgetAfter. It reports whether a member was
// marked dead.
func (t *table) tick(now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.Heartbeat++
	for name, r := range t.members {
		sinceAdvance := now.Sub(r.advancedAt)
		if !r.dead && sinceAdvance > t.deadAfter {
			r.dead = true
			changed = true
		}
		if sinceAdvance > t.forgetAfter {
			delete(t.members, name)
		}
	}
	t.forgetContacts(now)
	return changed
}

func (t *table) forgetContacts(now time.Time) {
	for dataCentre, contacts := range t.contacts {
		t.contacts[dataCentre] = slices.DeleteFunc(contacts, func(r *record) bool {
			return len(contacts) > 1 && now.Sub(r.advancedAt) > t.forgetAfter
		})
	}
}

// resetDeadlines restarts the time after which a member is declared dead, for all members that
// are not dead.
func (t *table) resetDeadlines(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.members {
		if !r.dead {
			r.advancedAt = now
		}
	}
}

// merge updates the table with the entries that another daemon sent. It reports whether a member of
// this daemon's data centre joined, restarted, recovered or changed its state.
func (t *table) merge(members []Member, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range members {
		switch {
		case member.Name == "" || !member.Address.IsValid():
		case member.Name == t.own.Name:
			t.raiseIncarnation(member)
		case member.DataCentre == t.own.DataCentre:
			changed = t.mergeMember(member, now) || changed
		default:
			t.mergeContact(member, now)
		}
	}
	return changed
}

// raiseIncarnation raises the incarnation of this daemon above that of an earlier instance of this
// daemon, so that others accept the entry of this instance as newer.
func (t *table) raiseIncarnation(member Member) {
	if member.Incarnation > t.own.Incarnation {
		t.own.Incarnation = member.Incarnation + 1
	}
}

// mergeMember adds or updates a member of this daemon's data centre, unless the table has the same
// or a newer entry. It reports the changes that merge describes.
func (t *table) mergeMember(member Member, now time.Time) (changed bool) {
	known, ok := t.members[member.Name]
	if !ok {
		t.members[member.Name] = &record{member: member, advancedAt: now}
		return true
	}
	if !member.newer(known.member) {
		return false
	}
	changed = known.dead || member.State != known.member.State || member.Incarnation != known.member.Incarnation
	*known = record{member: member, advancedAt: now}
	return changed
}

// mergeContact adds or updates a contact in another data centre. If that data centre has
// maxContactsPerDataCentre contacts, a new one replaces the contact whose heartbeat advanced least
// recently, provided that this was longer than deadAfter ago.
func (t *table) mergeContact(member Member, now time.Time) {
	contacts := t.contacts[member.DataCentre]
	for _, r := range contacts {
		if r.member.Name != member.Name {
			continue
		}
		if member.newer(r.member) {
			*r = record{member: member, advancedAt: now}
		}
		return
	}
	if member.State == StateLeaving {
		return
	}
	if len(contacts) < maxContactsPerDataCentre {
		t.contacts[member.DataCentre] = append(contacts, &record{member: member, advancedAt: now})
		return
	}
	oldest := slices.MinFunc(contacts, func(a, b *record) int { return a.advancedAt.Compare(b.advancedAt) })
	if now.Sub(oldest.advancedAt) > t.deadAfter {
		*oldest = record{member: member, advancedAt: now}
	}
}

// live returns the live members of this daemon's data centre, sorted by name.
func (t *table) live() []Member {
	return t.list(func(r *record) bool { return !r.dead && r.member.State == StateLive })
}

// dead returns the members of this daemon's data centre that are dead without having left.
func (t *table) dead() []Member {
	return t.list(func(r *record) bool { return r.dead && r.member.State == StateLive })
}

func (t *table) list(include func(*record) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, r := range t.members {
		if include(r) {
			members = append(members, r.member)
		}
	}
	sortByName(members)
	return members
}

func sortByName(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

func (t *table) find(name string) (member Member, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return r.member, true
}

// remoteContacts returns the contacts in other data centres that have not left.
func (t *table) remoteContacts() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, contacts := range t.contacts {
		for _, r := range contacts {
			if r.member.State == StateLive {
				members = append(members, r.member)
			}
		}
	}
	sortByName(members)
	return members
}

// notDead returns the members of this daemon's data centre that are live or leaving, sorted by
// name.
func (t *table) notDead() []Member {
	return t.list(func(r *record) bool { return !r.dead })
}

// unknownAddresses returns the addresses that belong neither to this daemon nor to a member of
// its data centre that is not dead.
func (t *table) unknownAddresses(addresses []netip.AddrPort) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[netip.AddrPort]bool, len(t.members))
	for _, r := range t.members {
		known[r.member.Address] = !r.dead
	}
	known[t.own.Address] = true
	var result []netip.AddrPort
	for _, address := range addresses {
		if !known[address] {
			result = append(result, address)
		}
	}
	return result
}
