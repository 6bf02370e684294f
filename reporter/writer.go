package reporter

import (
	"context"
	"errors"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// maxSwapAttempts bounds the compare-and-swap attempts when other daemons write the same batch.
const maxSwapAttempts = 8

// writeNewest stores the batch unless the stored version is at least as high. A nil error means
// that the platform holds the entries of the batch. If the response is lost, it returns the store's
// error, and the call may be repeated.
func writeNewest(ctx context.Context, store Store, key string, version uint64, data []byte) (err error) {
	defer Error.WrapP(&err)
	_, err = store.Create(ctx, key, data, storer.NoLease)
	var conflict *storer.ConflictError
	for range maxSwapAttempts {
		if !errors.As(err, &conflict) {
			return err
		}
		item, getErr := store.Get(ctx, key)
		if getErr != nil {
			return getErr
		}
		// A value that cannot be decoded has version zero and is replaced.
		stored, _ := decodeBatch(item.Value)
		if stored.Version >= version {
			return nil
		}
		_, err = store.Swap(ctx, key, data, item.Version, storer.NoLease)
	}
	return err
}
