package connector

import (
	"io"
	"net/http"
	"net/url"
	"strings"

	"lagoonlanding.example/lagoonlanding"
)

// hopByHopHeaders are the header fields that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without the hop-by-hop fields.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}

// NewRequest returns the task as an HTTP request to an address; its header is a copy that may be changed.
func NewRequest(address string, task lagoonlanding.Task) *http.Request {
	request := &http.Request{
		Method: task.Method(), URL: rawURL(address, task.Target()), Host: task.Host(), Header: task.Header().Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		// Prevents net/http from adding its own User-Agent.
		request.Header["User-Agent"] = []string{""}
	}
	if task.Body() != nil && task.BodyLength() != 0 {
		request.Body, request.ContentLength = io.NopCloser(task.Body()), task.BodyLength()
	}
	return request
}

// rawURL returns a URL that is written with exactly the path and the query of the target.
func rawURL(address, target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	result := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: hasQuery}
	if strings.HasPrefix(path, "//") {
		// An opaque part with two leading slashes would be written as a host.
		result.Path, result.RawPath = path, path
		return result
	}
	result.Opaque = path
	return result
}
