// Command soak plays random runs of the control and traffic code with faults on a fake clock, and finds which planted faults they catch.
package main
