package framer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http2/hpack"

	"lagoonlanding.example/lagoonlanding"
)

func newTestRequest(id string) *http.Request {
	return &http.Request{
		Method: http.MethodGet, URL: &url.URL{Opaque: "/a%2Fb", RawQuery: "q=1"}, Host: "h.example",
		Header: http.Header{"X-Request-Id": {id}, "Accept": {"*/*"}, "User-Agent": {"client/1"}, "X-Many": {"a", "b"}},
	}
}

func TestRequestRoundTrip(t *testing.T) {
	encoder, decoder := NewEncoder(), NewDecoder(1<<10)
	var sizes []int
	for _, id := range []string{"0123456789abcdef", "1123456789abcdef", "2123456789abcdef"} {
		request := newTestRequest(id)
		encoded, err := encoder.Request(request)
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, len(encoded))
		got, _, err := decoder.Request(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil {
			t.Fatal(err)
		}
		if got.RequestURI != "/a%2Fb?q=1" || got.Host != "h.example" || got.Method != http.MethodGet || got.ContentLength != 0 {
			t.Errorf("got %s %s of %s", got.Method, got.RequestURI, got.Host)
		}
		if difference := cmp.Diff(request.Header, got.Header); difference != "" {
			t.Error(difference)
		}
	}
	if sizes[2] > sizes[0]/2 {
		t.Errorf("repeated fields are not compressed: the heads have %v bytes", sizes)
	}
}

func TestBodiesEndAtTheirEnd(t *testing.T) {
	for _, length := range []int64{4, -1} {
		var wire bytes.Buffer
		encoder := NewEncoder()
		for _, text := range []string{"body", "next"} {
			head, err := encoder.Response(http.StatusOK, http.Header{}, length)
			if err != nil {
				t.Fatal(err)
			}
			wire.Write(head)
			if err := WriteBody(&wire, strings.NewReader(text), length); err != nil {
				t.Fatal(err)
			}
		}
		complete := wire.Bytes()
		decoder, reader := NewDecoder(1<<10), bufio.NewReader(bytes.NewReader(complete))
		for _, text := range []string{"body", "next"} {
			response, err := decoder.Response(reader, http.MethodGet)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != text {
				t.Errorf("length %d: got %q, %v", length, body, err)
			}
		}
		// Cut off at any byte, the last body does not look complete.
		for cut := 1; cut < len(complete)/2; cut++ {
			decoder, reader := NewDecoder(1<<10), bufio.NewReader(bytes.NewReader(complete[:cut]))
			response, err := decoder.Response(reader, http.MethodGet)
			if err != nil {
				continue
			}
			if body, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("length %d, cut at byte %d: %q looks complete", length, cut, body)
			}
		}
	}
}

func TestResponseToHeadHasNoBody(t *testing.T) {
	head, err := NewEncoder().Response(http.StatusOK, http.Header{"Content-Length": {"700"}}, lagoonlanding.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := NewDecoder(1<<10).Response(bufio.NewReader(bytes.NewReader(head)), http.MethodHead)
	if err != nil || response.Body != http.NoBody || response.Header.Get("Content-Length") != "700" {
		t.Errorf("got %v, %v", response, err)
	}
}

// TestReferencesAreBounded sends a small head whose references expand to a large one.
func TestReferencesAreBounded(t *testing.T) {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	encoder.SetMaxDynamicTableSize(tableBytes)
	for range 1000 {
		if err := encoder.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("y", 1000)}); err != nil {
			t.Fatal(err)
		}
	}
	wire := append(binary.AppendUvarint(binary.AppendUvarint(nil, uint64(block.Len())), 1), block.Bytes()...)
	decoder := NewDecoder(16 << 10)
	if _, _, err := decoder.Request(bufio.NewReader(bytes.NewReader(wire))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
	if len(decoder.fields) > 17 {
		t.Errorf("%d fields were kept", len(decoder.fields))
	}
}

func TestHeadWithoutEndIsRejectedBeforeItIsRead(t *testing.T) {
	wire := binary.AppendUvarint(nil, 1<<40)
	if _, err := NewDecoder(1<<10).Response(bufio.NewReader(bytes.NewReader(wire)), http.MethodGet); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
}

func FuzzDecoder(f *testing.F) {
	head, err := NewEncoder().Request(newTestRequest("0123456789abcdef"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(head)
	response, err := NewEncoder().Response(http.StatusOK, http.Header{"A": {"b"}}, -1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(response, "3\r\nabc\r\n0\r\n\r\n"...))
	f.Fuzz(func(t *testing.T, wire []byte) {
		decoder, reader := NewDecoder(4<<10), bufio.NewReader(bytes.NewReader(wire))
		for {
			request, size, err := decoder.Request(reader)
			if err != nil {
				break
			}
			if size > 4<<10 || request.Host == "" && request.Method == "" {
				t.Fatalf("accepted a head of %d bytes with method %q", size, request.Method)
			}
		}
		decoder, reader = NewDecoder(4<<10), bufio.NewReader(bytes.NewReader(wire))
		for {
			response, err := decoder.Response(reader, http.MethodGet)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return
			}
		}
	})
}

// TestInvalidStatusIsMalformed guards against a status of a daemon of an earlier release that is passed on as an answer.
func TestInvalidStatusIsMalformed(t *testing.T) {
	for status, isValid := range map[int]bool{0: false, 99: false, 100: false, 101: false, 200: true, 599: true, 600: false, 999: false} {
		head, err := NewEncoder().Response(status, http.Header{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		_, err = NewDecoder(1<<10).Response(bufio.NewReader(bytes.NewReader(head)), http.MethodGet)
		if isValid != (err == nil) || !isValid && !errors.Is(err, ErrMalformed) {
			t.Errorf("status %d: got %v", status, err)
		}
	}
}
