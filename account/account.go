// Package account holds the client accounts of the operator's configuration and finds the account of an API key.
package account

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority is the rank of the account's requests; it replaces that of the route if HasPriority is set. 0 is the
	// most urgent.
	Priority    int
	HasPriority bool
}

// Definition is a client account as the configuration defines it.
type Definition struct {
	Name     string
	Keys     []string
	Priority *int
}

// Digest identifies an API key. Keys are neither kept nor compared themselves: the time of a lookup depends on the
// digest, whose parts a caller can't choose.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Directory is the set of client accounts of one configuration. It is immutable. A nil Directory stands for a
// configuration without accounts, in which no request needs a key.
type Directory struct {
	byKey    map[Digest]*Account
	accounts int
}

// ErrInvalid means that a definition is not valid.
var ErrInvalid = errors.New("invalid client account")

// NewDirectory returns the directory of definitions. It is usable even if the error, which joins those of all invalid
// entries, is not nil: a key that more than one account holds belongs to none of them, empty keys and names are left
// out, and accounts with one name are one account with the keys of all and the priority of the first. A fault in one
// entry must not keep the keys of the others, which may have been dropped for a reason, from taking effect.
//
// The texts of errors contain no keys.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Account, 2*len(definitions))}
	byName := make(map[string]*Account, len(definitions))
	ambiguous := map[Digest]bool{}
	var errs []error
	for i := range definitions {
		def := &definitions[i]
		if err := CheckName(def.Name); err != nil {
			errs = append(errs, fmt.Errorf("%w: entry %d: name: %w", ErrInvalid, i, err))
			continue
		}
		a := byName[def.Name]
		if a != nil {
			errs = append(errs, fmt.Errorf("%w: entry %d: name: %q is the name of another account", ErrInvalid, i, def.Name))
		} else {
			a = &Account{Name: def.Name}
			if def.Priority != nil {
				a.Priority, a.HasPriority = *def.Priority, true
			}
			byName[def.Name] = a
		}
		for j, key := range def.Keys {
			if !validKey(key) {
				errs = append(errs, fmt.Errorf("%w: account %q: key %d: must be 1 to %d visible ASCII characters", ErrInvalid, def.Name, j, maxKeyLength))
				continue
			}
			digest := DigestOf(key)
			if holder := d.byKey[digest]; holder != nil && holder != a || ambiguous[digest] {
				errs = append(errs, fmt.Errorf("%w: account %q: key %d: another account holds the same key", ErrInvalid, def.Name, j))
				ambiguous[digest] = true
				delete(d.byKey, digest)
				continue
			}
			d.byKey[digest] = a
		}
	}
	d.accounts = len(byName)
	return d, errors.Join(errs...)
}

const (
	// maxNameLength limits names, which are sent in a header of each request, in bytes.
	maxNameLength = 200
	// maxKeyLength limits keys in bytes. Callers send them in a header, of which the platform allows 16 KiB in all.
	maxKeyLength = 4096
)

// CheckName reports why name can't be the name of an account.
func CheckName(name string) error {
	switch {
	case name == "":
		return errors.New("is empty")
	case len(name) > maxNameLength:
		return fmt.Errorf("is longer than %d bytes", maxNameLength)
	case strings.ContainsFunc(name, func(c rune) bool { return c < ' ' || c > '~' }), strings.TrimSpace(name) != name:
		return fmt.Errorf("%q contains characters that can't be sent in a header", name)
	}
	return nil
}

func validKey(key string) bool {
	return key != "" && len(key) <= maxKeyLength && !strings.ContainsFunc(key, func(c rune) bool { return c <= ' ' || c > '~' })
}

// Lookup returns the account that holds a key, or nil.
func (d *Directory) Lookup(key Digest) *Account {
	if d == nil {
		return nil
	}
	return d.byKey[key]
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return d.accounts
}

// bearerScheme is the authentication scheme of API keys.
const bearerScheme = "Bearer"

// BearerKey returns the digest of the key in the values of an Authorization header. ok is false unless there is one
// value, its scheme is Bearer in any case, and one key follows after spaces or tabs.
func BearerKey(values []string) (key Digest, ok bool) {
	if len(values) != 1 {
		return Digest{}, false
	}
	value := strings.Trim(values[0], " \t")
	scheme, rest, found := strings.Cut(strings.ReplaceAll(value, "\t", " "), " ")
	text := strings.TrimLeft(rest, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) || !validKey(text) {
		return Digest{}, false
	}
	return DigestOf(text), true
}
