// Package allocator enforces the quotas of client accounts over all daemons.
//
// Quota is created at one place and is transferred, never copied. Each of N daemons may create quota for an N-th of the elapsed time;
// that part of the time is called its fleet time. A daemon transfers its fleet time to a coordinator, which refills one token bucket for
// each account with it and grants units to the daemons that ask for them. A daemon without a coordinator uses its own fleet time, so that
// the parts of a partitioned fleet together stay within the quota.
//
// A daemon's coordinator is the best ranked daemon of its data centre that answers, and that one's is the best ranked of the fleet;
// in a small fleet all have the same one. Messages contain totals and name the incarnations of sender and receiver, so that lost,
// repeated and late ones create nothing. A message of a former incarnation, or an answer to one of long ago, does not count.
//
// Node is the state machine. Allocator runs it: it waits for amounts on behalf of requests, and sends what the Node returns.
//
// # Usage
//
//	a := allocator.New(allocator.Settings{Self: self, Send: send, ContactAge: contactAge, Logger: logger})
//	a.Start(ctx)
//	defer a.Close()
//	a.SetQuotas(catalog.LimitedAccounts())
//	a.SetListing(listing)
//	err := a.Acquire(ctx, account, amount)
package allocator

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
)

// HashAccount returns the hash that identifies an account in messages.
func HashAccount(name string) AccountHash { return AccountHash(xxh3.HashString(name)) }

// Settings are the parameters of an Allocator.
type Settings struct {
	Self Peer
	// Send sends a message to another daemon. It does not block.
	Send func(daemon string, message []byte)
	// ContactAge returns the time since the listing of the daemons was known to be current.
	ContactAge func() time.Duration
	Logger     *slog.Logger
	// Now is the clock. It must not stop while the host is suspended. Default: clocker.Now.
	Now func() clocker.Instant
}

// Allocator acquires amounts of quotas for requests. Its methods are safe for concurrent use.
type Allocator struct {
	settings Settings
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	// wake makes the loop compute anew when the next messages are due.
	wake chan struct{}

	mu   sync.Mutex
	node *Node
	role role
}

// New returns an Allocator without quotas and peers.
func New(settings Settings) *Allocator {
	if settings.Now == nil {
		settings.Now = clocker.Now
	}
	return &Allocator{
		settings: settings, cancel: func() {}, wake: make(chan struct{}, 1),
		node: NewNode(NodeSettings{Self: settings.Self, Incarnation: rand.Uint64() | 1}),
	}
}

// Start sends messages until Close or the end of ctx.
func (a *Allocator) Start(ctx context.Context) {
	ctx, a.cancel = context.WithCancel(ctx)
	a.tasks.Go(func() { supervisor.Run(ctx, a.settings.Logger, "quotas", a.run) })
}

// Close stops the sending of messages and waits for its end.
func (a *Allocator) Close() error {
	a.cancel()
	a.tasks.Wait()
	return nil
}

func (a *Allocator) run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(a.step(func(*Node, clocker.Instant) {}))
		select {
		case <-timer.C:
		case <-a.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step changes the node and sends the messages that are due then. It returns how long the next call may take.
func (a *Allocator) step(change func(node *Node, now clocker.Instant)) time.Duration {
	a.mu.Lock()
	now := a.settings.Now()
	if a.node.Active() {
		a.node.Confirm(now.Add(-a.settings.ContactAge()))
	}
	change(a.node, now)
	messages, wait := a.node.Advance(now)
	a.logRole()
	a.mu.Unlock()
	for _, outgoing := range messages {
		a.settings.Send(outgoing.To, outgoing.Message.Encode())
	}
	return wait
}

// poke changes the node and makes the loop compute anew when the next messages are due.
func (a *Allocator) poke(change func(node *Node, now clocker.Instant)) {
	a.step(change)
	a.wakeLoop()
}

// wakeLoop makes the loop compute anew when it has to act next.
func (a *Allocator) wakeLoop() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// SetQuotas replaces the accounts with a quota.
func (a *Allocator) SetQuotas(accounts []*cataloger.Account) {
	quotas := make([]Quota, 0, len(accounts))
	for _, account := range accounts {
		burst := account.Quota.Burst
		if burst == 0 { // A configuration without a burst allows for that of one second.
			burst = account.Quota.RatePerSecond
		}
		quotas = append(quotas, Quota{
			Account: account.Name, RatePerSecond: account.Quota.RatePerSecond, Burst: burst, InTokens: account.Quota.Unit == cataloger.UnitTokens,
		})
	}
	a.poke(func(node *Node, now clocker.Instant) { node.SetQuotas(quotas, now) })
}

// SetListing applies a reading of the daemons' entries.
func (a *Allocator) SetListing(listing Listing) {
	a.poke(func(node *Node, now clocker.Instant) { node.SetListing(listing, now) })
}

// Leave makes this daemon nobody's coordinator, since it stops soon.
func (a *Allocator) Leave() { a.poke(func(node *Node, now clocker.Instant) { node.Leave(now) }) }

// Receive processes a message of another daemon.
func (a *Allocator) Receive(daemon string, encoded []byte) {
	message, err := Decode(encoded)
	if err != nil {
		a.settings.Logger.Warn("received a malformed quota message", "from", daemon, "error", err)
		return
	}
	if a.step(func(node *Node, now clocker.Instant) { node.Receive(daemon, message, now) }) <= queueWake {
		a.wakeLoop() // Something waits now, and the loop may sleep for longer.
	}
}

// Acquire implements relayer.Quotas. It waits up to MaxWait.
func (a *Allocator) Acquire(ctx context.Context, account *cataloger.Account, amount float64) error {
	var waiter *Waiter
	acquire := func(node *Node, now clocker.Instant) {
		waiter = node.Acquire(HashAccount(account.Name), units(amount), now)
	}
	a.step(acquire)
	if waiter == nil {
		return nil
	}
	select {
	case <-waiter.Done: // The usual case, without waking the loop.
		return a.result(account, waiter)
	default:
	}
	a.poke(func(*Node, clocker.Instant) {})
	timer := time.NewTimer(MaxWait + closingMargin)
	defer timer.Stop()
	select {
	case <-waiter.Done:
		return a.result(account, waiter)
	case <-timer.C: // The loop has ended.
	case <-ctx.Done():
	}
	a.step(func(node *Node, now clocker.Instant) { node.Withdraw(waiter, now) })
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return &relayer.QuotaError{Account: account.Name, RetryAfter: defaultRetryAfter}
}

// closingMargin is how long after MaxWait a request gives up by itself.
const closingMargin = 50 * time.Millisecond

func (a *Allocator) result(account *cataloger.Account, waiter *Waiter) error {
	if waiter.Granted {
		return nil
	}
	return &relayer.QuotaError{Account: account.Name, RetryAfter: waiter.RetryAfter}
}

// Charge implements relayer.Quotas.
func (a *Allocator) Charge(account *cataloger.Account, amount float64) {
	a.step(func(node *Node, now clocker.Instant) { node.Charge(HashAccount(account.Name), units(amount), now) })
}

// Refund implements relayer.Quotas.
func (a *Allocator) Refund(account *cataloger.Account, amount float64, held time.Duration) {
	a.step(func(node *Node, now clocker.Instant) {
		node.Refund(HashAccount(account.Name), units(amount), held, now)
	})
}

// units returns an amount as whole units.
func units(amount float64) uint64 { return uint64(math.Ceil(min(max(amount, 0), maxAmount))) }
