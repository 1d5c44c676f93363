// Command bench measures what each daemon on the way of a request adds, against the same load sent to the backend server directly.
package main
