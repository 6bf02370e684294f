package presenter

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/encoder"
)

type wireKey struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate a random key for callers or operators, with the digest to declare for it; the key is not stored",
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := arguments(command, 0, 0); err != nil {
				return err
			}
			key := rand.Text()
			wire := wireKey{Key: key, Digest: encoder.FormatDigest(sha256.Sum256([]byte(key)))}
			return show(command, wire, wire.print)
		},
	}
}

func (w wireKey) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "key     %s\ndigest  %s\n", w.Key, w.Digest)
}
