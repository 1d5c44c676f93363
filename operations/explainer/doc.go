// Package explainer tells why a key is where it is.
package explainer
