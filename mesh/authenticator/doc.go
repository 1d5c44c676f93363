// Package authenticator decides to which workspace a request belongs, by its API key.
//
// The decision is made for each request and again before each further try, so it is one lookup by digest; it handles any number of workspaces
// and keys that the configuration holds.
package authenticator
