package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"

	"lagoonlanding.example/lagoonlanding"
)

// FingerprintOf returns the fingerprint of a request, without its idempotency key and ID, which callers may change on a retry.
func FingerprintOf(request lagoonlanding.Request) lagoonlanding.Fingerprint {
	hash := sha256.New()
	parts := [][]byte{
		[]byte(request.Key().Service()), []byte(request.Key().Workspace()), []byte(request.Key().Name()),
		[]byte(request.Method()), []byte(request.Path()), request.Body(),
	}
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return lagoonlanding.Fingerprint(hash.Sum(nil)[:16])
}
