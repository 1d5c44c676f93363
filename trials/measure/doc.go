// Command measure runs the experiments on the request path and prints a table for each measure with the baseline in its first row.
package main
