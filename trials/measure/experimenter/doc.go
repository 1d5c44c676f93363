// Package experimenter contains the experiments on the request path, one per file, each of which also runs a simple baseline.
package experimenter
