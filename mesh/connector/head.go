package connector

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"lagoonlanding.example/lagoonlanding/mesh/framer"
)

// readTextResponse reads the head of a response in HTTP/1.1, and returns the response with a body that reads from the connection.
func (connection *connection) readTextResponse(request *http.Request) (*http.Response, error) {
	head, err := connection.readHead()
	if err != nil {
		return nil, err
	}
	if err := framer.CheckFields(head); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)), request)
	if err != nil {
		return nil, err
	}
	switch {
	case response.Body == http.NoBody:
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		// The body ends with the connection.
		response.Body = io.NopCloser(connection.reader)
	default:
		response.Body = io.NopCloser(framer.NewBody(connection.reader, response.ContentLength))
	}
	return response, nil
}

// readHead reads the lines of a head up to and including the empty one.
func (connection *connection) readHead() ([]byte, error) {
	var head []byte
	for start := 0; ; start = len(head) {
		for {
			part, err := connection.reader.ReadSlice('\n')
			head = append(head, part...)
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return nil, unexpectedEnd(err)
			}
		}
		if len(bytes.TrimRight(head[start:], "\r\n")) == 0 {
			return head, nil
		}
	}
}

// unexpectedEnd returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
