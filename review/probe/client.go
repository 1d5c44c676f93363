package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// deadline is how long the clients wait.
const deadline = 5 * time.Second

// answer is what a client got; status is zero for none.
type answer struct {
	status    int
	signature string
	body      string
	took      time.Duration
}

// openUpload sends the head of a request whose body comes in chunks.
func openUpload(record *record, outbound, id, path string) (net.Conn, error) {
	connection, err := net.Dial("tcp4", outbound)
	if err != nil {
		return nil, err
	}
	if err := connection.SetDeadline(time.Now().Add(deadline + time.Second)); err != nil {
		return nil, err
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: tags.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", path, id, deadline.Milliseconds())
	record.note("client sends the head of %s", id)
	_, err = io.WriteString(connection, head)
	return connection, err
}

// upload sends a request in chunks, with a pause before each, and returns the answer.
func upload(record *record, outbound, id, path string, pieces []string, pause time.Duration) answer {
	began := time.Now()
	connection, err := openUpload(record, outbound, id, path)
	if err != nil {
		return answer{}
	}
	defer connection.Close()
	for _, piece := range pieces {
		time.Sleep(pause)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			break
		}
	}
	// An error shows when the answer is read.
	_, _ = io.WriteString(connection, "0\r\n\r\n")
	record.note("client has sent all of %s: %q", id, strings.Join(pieces, ""))
	got := readAnswer(connection)
	got.took = time.Since(began)
	record.note("client gets for %s: status %d, signature %q, body %.60q after %v", id, got.status, got.signature, got.body, got.took.Round(time.Millisecond))
	return got
}

func readAnswer(connection net.Conn) answer {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, signature: response.Header.Get("X-Server-Signature"), body: string(body)}
}
