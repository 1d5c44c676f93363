// Package administrator serves the HTTP administration API to operators.
package administrator
