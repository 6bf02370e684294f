package storer

import "strings"

// Condition is the version that a key must have; zero means that it must not exist.
type Condition struct {
	Key     string
	Version Version
}

// Put is a value to write, bound to a lease or to NoLease.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is a set of changes that take effect together or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Name lists the keys of the transaction, for errors and logs.
func (t Transaction) Name() string {
	var keys []string
	for _, put := range t.Puts {
		keys = append(keys, put.Key)
	}
	return strings.Join(append(keys, t.Deletes...), ",")
}
