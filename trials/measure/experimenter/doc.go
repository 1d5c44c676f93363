// Package experimenter holds the experiments on the request path, one a file, each with its plain baseline in the same run.
package experimenter
