// Package explainer explains which instance owns a key, and why.
package explainer
