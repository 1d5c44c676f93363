package receiver

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

// TestInvalidStatusIsNotWritten guards against a status that is not that of a final response on a connection to a client or to another daemon.
func TestInvalidStatusIsNotWritten(t *testing.T) {
	for name, codec := range map[string]lagoonlanding.HeadCodec{"HTTP/1.1": newTextCodec(1<<10, nil), "compact": newFramedCodec(1 << 10)} {
		for status, isValid := range map[int]bool{0: false, 99: false, 101: false, 199: false, 200: true, 599: true, 600: false, 999: false, -1: false} {
			err := codec.WriteHead(bufio.NewWriter(io.Discard), status, http.Header{}, 0)
			if isValid != (err == nil) || !isValid && !errors.Is(err, errStatus) {
				t.Errorf("%s, status %d: got %v", name, status, err)
			}
		}
	}
}
