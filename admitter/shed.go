package admitter

import (
	"time"
)

// logInterval is the shortest time between two log lines of one service.
const logInterval = time.Second

// shedCount counts the requests that were shed since the last log line, by account.
type shedCount struct {
	byAccount map[string]int
	loggedAt  time.Time
	wasShort  bool
}

func (c *shedCount) add(request Request) {
	if c.byAccount == nil {
		c.byAccount = make(map[string]int)
	}
	c.byAccount[request.Account]++
}

// most returns the account of which most requests were shed, and the number of all.
func (c *shedCount) most() (account string, requests int) {
	most := 0
	for name, count := range c.byAccount {
		requests += count
		if count > most {
			account, most = name, count
		}
	}
	return account, requests
}

// logShortage logs that a service is overloaded, what is shed, and that the overload has ended.
func (a *Admitter) logShortage(s *service, now time.Time) {
	short := s.shortage.room > 0
	if now.Sub(s.shed.loggedAt) < logInterval || !short && !s.shed.wasShort {
		return
	}
	total := s.totalSupply(now)
	account, requests := s.shed.most()
	a.settings.Logger.Info("service overloaded", "service", s.name, "ended", !short,
		"room", int(s.shortage.room), "served", int(total.served), "late", int(total.late), "refused", int(total.refused),
		"accounts_over_share", len(s.ratios), "shed", requests, "shed_most_of", account, "peers", len(s.reports), "oldest_ms", s.oldestReport(now).Milliseconds())
	s.shed.loggedAt, s.shed.wasShort = now, short
	s.shed.byAccount = nil
}

// oldestReport returns the age of the oldest report of a peer.
func (s *service) oldestReport(now time.Time) (age time.Duration) {
	for _, known := range s.reports {
		age = max(age, now.Sub(known.receivedAt))
	}
	return age
}
