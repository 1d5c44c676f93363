package framer

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// maxTrailerLines limits the lines after the last chunk of a body.
const maxTrailerLines = 64

var errTrailer = errors.New("malformed trailer")

// body reads one body from a connection and ends at its end; a body that breaks off fails with io.ErrUnexpectedEOF.
type body struct {
	source *bufio.Reader
	chunks io.Reader
	// remaining is the number of bytes left of a body with a declared length.
	remaining int64
	ended     bool
}

// NewBody returns a body of the given length in bytes, or in chunks if it is negative.
func NewBody(reader *bufio.Reader, length int64) io.Reader {
	if length < 0 {
		return &body{source: reader, chunks: httputil.NewChunkedReader(reader)}
	}
	return &body{source: reader, remaining: length}
}

// Read reads from the connection up to the end of the body.
func (body *body) Read(data []byte) (int, error) {
	switch {
	case body.ended:
		return 0, io.EOF
	case body.chunks != nil:
		return body.readChunks(data)
	}
	count, err := body.source.Read(data[:min(int64(len(data)), body.remaining)])
	body.remaining -= int64(count)
	switch {
	case body.remaining == 0:
		body.ended = true
		return count, io.EOF
	case errors.Is(err, io.EOF):
		return count, io.ErrUnexpectedEOF
	}
	return count, err
}

func (body *body) readChunks(data []byte) (int, error) {
	count, err := body.chunks.Read(data)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if err := skipTrailer(body.source); err != nil {
		return count, err
	}
	body.ended = true
	return count, io.EOF
}

// skipTrailer reads the lines after the last chunk, which are not passed on.
func skipTrailer(reader *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return errors.Join(errTrailer, err)
		}
		if string(line) == "\r\n" || string(line) == "\n" {
			return nil
		}
	}
	return errTrailer
}

// WriteBody writes a body of the given length in bytes, or in chunks if it is negative; it fails if the body is shorter.
func WriteBody(writer io.Writer, source io.Reader, length int64) error {
	if length >= 0 {
		_, err := io.CopyN(writer, source, length)
		return err
	}
	chunks := httputil.NewChunkedWriter(writer)
	if _, err := io.Copy(chunks, source); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(writer, "\r\n")
	return err
}
