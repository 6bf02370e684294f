package cataloger

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/url"
	"slices"
)

const (
	// sharedNamespacePrefix begins the namespace that accounts share, and no namespace of an isolated account.
	sharedNamespacePrefix = "/"
	// namespaceDigestBytes is the length of the digest in the name of the shared namespace, which is in each model call and
	// cache event.
	namespaceDigestBytes = 12
)

// CacheNamespace returns the namespace of the KV cache entries of an account's requests. An isolated account has one of its
// own. All others, and anonymous requests, for which account is nil, share one that depends on which accounts are isolated:
// entries cannot be told apart by the accounts that made them, so a newly isolated account leaves its entries behind in a
// namespace that nobody uses while it is isolated. Equal declarations have equal namespaces, whatever came before them.
func (c *Catalog) CacheNamespace(account *Account) string {
	if account == nil || !account.Isolated {
		return c.sharedNamespace
	}
	return url.PathEscape(account.Name) // Escaped, it contains no sharedNamespacePrefix.
}

// sharedNamespace returns the namespace of all accounts that are not isolated.
func sharedNamespace(accounts []Account) string {
	var isolated []string
	for _, account := range accounts {
		if account.Isolated {
			isolated = append(isolated, account.Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	return sharedNamespacePrefix + digest(slices.Compact(isolated))
}

// digest returns a text that differs between lists of names.
func digest(names []string) string {
	var text []byte
	for _, name := range names {
		text = binary.AppendUvarint(text, uint64(len(name)))
		text = append(text, name...)
	}
	sum := sha256.Sum256(text)
	return base64.RawURLEncoding.EncodeToString(sum[:namespaceDigestBytes])
}
