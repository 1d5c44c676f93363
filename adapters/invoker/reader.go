package invoker

import "io"

// onceReader gives its bytes once.
type onceReader struct{ rest []byte }

func (oncereader *onceReader) Read(buffer []byte) (int, error) {
	if len(oncereader.rest) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, oncereader.rest)
	oncereader.rest = oncereader.rest[count:]
	return count, nil
}
