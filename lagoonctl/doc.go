// Command lagoonctl is the command line client of operators.
package main
