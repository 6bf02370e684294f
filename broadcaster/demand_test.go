package broadcaster_test

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

func demandsOf(account placer.AccountHash, work int) placer.PeerUpdate {
	demand := placer.AccountDemand{Service: 1 << 31, Account: account, Accounts: 1, Usual: work / 2}
	demand.Work[0], demand.Work[placer.Urgencies-1] = work, 1
	return placer.PeerUpdate{
		AccountDemands:  []placer.AccountDemand{demand},
		ServiceSupplies: []placer.ServiceSupply{{Service: 1 << 31, Served: work, Late: 2, Refused: 3, Shed: 4}, {Service: 5}},
	}
}

func TestDemandsAreEncoded(t *testing.T) {
	want := broadcaster.Message{Sender: "d1", Update: demandsOf(1<<32-1, 1<<35)}
	want.Update.AccountDemands = append(want.Update.AccountDemands, placer.AccountDemand{Service: 5, Account: placer.OtherAccounts, Accounts: 9})
	if decoded, err := broadcaster.Decode(want.Encode()[0]); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
}

// Guards against a format that older daemons can't skip: they decode the value of each field as a message of varints, and use
// only the fields that they know. The rest of the message must be as without demands.
func TestOlderDaemonsSkipDemands(t *testing.T) {
	before := broadcaster.Message{Sender: "d1", Update: placer.PeerUpdate{Loads: []placer.Load{{Target: 2, Requests: 1}}}}
	with := before
	with.Update.AccountDemands, with.Update.ServiceSupplies = demandsOf(7, 100).AccountDemands, demandsOf(7, 100).ServiceSupplies
	var known []byte
	for rest := with.Encode()[0]; len(rest) > 0; {
		field, kind, n := protowire.ConsumeTag(rest)
		length := n + protowire.ConsumeFieldValue(field, kind, rest[n:])
		if field != 18 {
			known = append(known, rest[:length]...)
		} else if content, _ := protowire.ConsumeBytes(rest[n:]); kind != protowire.BytesType || !isVarints(content) {
			t.Errorf("field 18 contains %x", content)
		}
		rest = rest[length:]
	}
	if !reflect.DeepEqual(known, before.Encode()[0]) {
		t.Errorf("without field 18 the message is %x", known)
	}
}

func isVarints(message []byte) bool {
	for len(message) > 0 {
		field, kind, n := protowire.ConsumeTag(message)
		length := protowire.ConsumeFieldValue(field, kind, message[max(n, 0):])
		if n < 0 || length < 0 || kind != protowire.VarintType {
			return false
		}
		message = message[n+length:]
	}
	return true
}

// Guards against daemons that don't know what accounts demand elsewhere, or that count their own demand twice.
func TestDemandsReachTheFleet(t *testing.T) {
	for _, count := range []int{9, 40} {
		f := newSimulatedFleet(count, 3)
		for i, d := range f.daemons {
			d.own.AccountDemands, d.own.ServiceSupplies = demandsOf(placer.AccountHash(i%2+1), 100).AccountDemands, demandsOf(1, 100).ServiceSupplies
		}
		f.run(t, 2*time.Second)
		for _, d := range f.daemons {
			work, served := 0, 0
			for _, update := range d.demands {
				for _, demand := range update.AccountDemands {
					work += demand.Work[0]
				}
				for _, supply := range update.ServiceSupplies {
					served += supply.Served
				}
			}
			if others := 100 * (count - 1); work != others || served != others {
				t.Errorf("%s of %d knows of %d demanded and %d served by others", d.peer.Name, count, work, served)
			}
		}
	}
}

// Guards against messages that grow with the number of accounts, and against demand that is lost beyond the listed accounts.
func TestMessagesListTheLargestAccounts(t *testing.T) {
	const daemons, accounts = 40, 50
	f := newSimulatedFleet(daemons, 3)
	for i, d := range f.daemons {
		for j := range accounts {
			d.own.AccountDemands = append(d.own.AccountDemands, demandsOf(placer.AccountHash(1+i*accounts+j), 100+j).AccountDemands...)
		}
		d.own.ServiceSupplies = demandsOf(1, 0).ServiceSupplies
	}
	f.run(t, 2*time.Second)
	for _, d := range f.daemons {
		work, listed := 0, 0
		for _, update := range d.demands {
			listed += len(update.AccountDemands)
			for _, demand := range update.AccountDemands {
				work += demand.Work[0]
			}
		}
		all := daemons * (accounts*100 + accounts*(accounts-1)/2)
		if listed > placer.MaxAccountDemands+1 || work < all*9/10 || work > all {
			t.Errorf("%s knows %d accounts that demand %d of %d", d.peer.Name, listed, work, all)
		}
	}
}
