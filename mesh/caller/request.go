package caller

import (
	"io"
	"net/http"
	"net/url"
	"strings"

	"lagoonlanding.example/lagoonlanding"
)

// hopHeaders are the fields that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the fields that do not concern one connection only.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// NewRequest returns the task as an HTTP request to an address; the header may be changed.
func NewRequest(address string, task lagoonlanding.Task) *http.Request {
	request := &http.Request{
		Method: task.Method(), URL: rawURL(address, task.Target()), Host: task.Host(), Header: task.Header().Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		// The client named no program, so none is named in its place.
		request.Header["User-Agent"] = []string{""}
	}
	if task.Body() != nil && task.BodyLength() != 0 {
		request.Body, request.ContentLength = io.NopCloser(task.Body()), task.BodyLength()
	}
	return request
}

// rawURL keeps the path and the query byte for byte.
func rawURL(address, target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	made := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: hasQuery}
	if strings.HasPrefix(path, "//") {
		// An opaque part that begins like this would be written as a host.
		made.Path, made.RawPath = path, path
		return made
	}
	made.Opaque = path
	return made
}
