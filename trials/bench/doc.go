// Command bench measures the latency and CPU time that each daemon on the path of a request adds,
// against the same load sent to the backend server directly.
package main
