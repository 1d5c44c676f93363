// Command measure runs the experiments on the request path and prints tables of the results with the baseline in the first row,
// or shows the history of scores of a site.
package main
