package storer

import "strings"

// Condition is a precondition of a transaction: the version that a key must have. Version zero
// means that the key must not exist.
type Condition struct {
	Key     string
	Version Version
}

// Put is a value to write, bound to Lease unless that is NoLease.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is a set of changes that are applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// KeyList returns the keys that the transaction writes or deletes, joined by commas, for errors
// and logs.
func (t Transaction) KeyList() string {
	var keys []string
	for _, put := range t.Puts {
		keys = append(keys, put.Key)
	}
	return strings.Join(append(keys, t.Deletes...), ",")
}
