// Command lagoonctl is the operators' command line.
package main
