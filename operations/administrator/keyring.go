package administrator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
)

// minKeyLength is the minimum number of characters of an operator's key.
const minKeyLength = 16

// keyring holds the operators' keys and reloads their file when it changes.
type keyring struct {
	file     string
	mutex    sync.Mutex
	modified time.Time
	size     int64
	keys     []key
}

// key is one operator's key; only its digest is kept, so that the time of a comparison does not depend on the length.
type key struct {
	name   string
	digest [sha256.Size]byte
}

// newKeyring reads the keys; without a file all calls are allowed, which requires a loopback address.
func newKeyring(file, address string) (*keyring, error) {
	if file == "" {
		if !isLoopback(address) {
			return nil, oops.In("administrator").Errorf("the admin-address %s is not a loopback address, so an admin-key-file is needed", address)
		}
		return &keyring{}, nil
	}
	keyring := &keyring{file: file}
	return keyring, keyring.reload()
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// check returns the name of the operator with the key in the header; it returns false if there is none.
func (keyring *keyring) check(authorization string) (string, bool, error) {
	if keyring.file == "" {
		return "", true, nil
	}
	keyring.mutex.Lock()
	defer keyring.mutex.Unlock()
	// If the file cannot be read, the previous keys stay valid, so that a partially written file locks nobody out.
	err := keyring.reload()
	text, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return "", false, err
	}
	digest := sha256.Sum256([]byte(text))
	for _, key := range keyring.keys {
		if subtle.ConstantTimeCompare(digest[:], key.digest[:]) == 1 {
			return key.name, true, err
		}
	}
	return "", false, err
}

// reload reads the file if it has changed since the last read.
func (keyring *keyring) reload() error {
	info, err := os.Stat(keyring.file)
	if err != nil {
		return oops.In("administrator").Wrapf(err, "reading the keys")
	}
	if info.ModTime().Equal(keyring.modified) && info.Size() == keyring.size {
		return nil
	}
	text, err := os.ReadFile(keyring.file)
	if err != nil {
		return oops.In("administrator").Wrapf(err, "reading the keys")
	}
	keys, err := parseKeys(string(text))
	if err != nil {
		return err
	}
	keyring.keys, keyring.modified, keyring.size = keys, info.ModTime(), info.Size()
	return nil
}

// parseKeys parses lines with a key, or with an operator's name and a key.
func parseKeys(text string) ([]key, error) {
	var keys []key
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		secret := fields[len(fields)-1]
		if len(fields) > 2 || len(secret) < minKeyLength {
			return nil, oops.In("administrator").Errorf("line %d of the key file is not a name and a key of at least %d characters", i+1, minKeyLength)
		}
		name := ""
		if len(fields) == 2 {
			name = fields[0]
		}
		keys = append(keys, key{name: name, digest: sha256.Sum256([]byte(secret))})
	}
	if len(keys) == 0 {
		return nil, oops.In("administrator").Errorf("the key file contains no key")
	}
	return keys, nil
}
