package invoker

import "io"

// onceReader returns its bytes once and cannot be rewound.
type onceReader struct{ unread []byte }

func (oncereader *onceReader) Read(buffer []byte) (int, error) {
	if len(oncereader.unread) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, oncereader.unread)
	oncereader.unread = oncereader.unread[count:]
	return count, nil
}
